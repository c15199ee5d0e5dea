/*
 * Finds status lines where none belongs: in the head or body of a response that was cut off ahead of another one.
 */
package rhubarbspool.edge

import io.netty.handler.codec.http.HttpResponse

/** Finds status lines in texts and heads. */
object StatusLines {
    private const val VERSION = "HTTP/1."
    private val STATUS_LINE = Regex("HTTP/1[.][01] [0-9]")

    /** Whether [text] contains a status line, or the beginning of one up to its status. */
    fun isIn(text: String): Boolean = VERSION in text && STATUS_LINE.containsMatchIn(text)

    /** Whether the reason phrase or the value of a header of [response] contains a status line. */
    fun isIn(response: HttpResponse): Boolean =
        isIn(response.status().reasonPhrase()) || response.headers().any { isIn(it.value) }
}
