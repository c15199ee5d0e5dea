/*
 * Searches the body of a response for the head of another one, which a server may write into it. A body that has no
 * length, or whose length ends early, would be taken for a whole one otherwise.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Searches a body part by part; [isRepeat] says whether the text from a status line on is a repeated response. */
internal class StatusLineScanner(private val isRepeat: (String) -> Boolean) {
    private var tail = ByteArray(0)

    /** Whether the body has contained a status line, or the beginning of one up to its status. */
    var hasStatusLine = false
        private set

    /** Whether the body has contained a repeated response. */
    var hasRepeat = false
        private set

    /** Number of bytes at the end of the body that may be the beginning of a status line that goes on behind it. */
    val begunBytes: Int
        get() {
            val end = String(tail, Charsets.ISO_8859_1)
            return BEGINNINGS.filter(end::endsWith).maxOfOrNull { it.length } ?: 0
        }

    /** Searches [part], which follows the earlier parts; its indexes are not changed. */
    fun scan(part: ByteBuf) {
        val bytes = tail.copyOf(tail.size + part.readableBytes())
        part.getBytes(part.readerIndex(), bytes, tail.size, part.readableBytes())
        for (index in 0..bytes.size - STATUS_LINE_BYTES) {
            if (bytes[index] == FIRST_BYTE && isStatusLine(bytes, index)) onStatusLine(bytes, index)
        }
        tail = bytes.copyOfRange(maxOf(0, bytes.size - HEAD_BYTES), bytes.size)
    }

    private fun onStatusLine(bytes: ByteArray, index: Int) {
        hasStatusLine = true
        val length = minOf(HEAD_BYTES, bytes.size - index)
        hasRepeat = hasRepeat || isRepeat(String(bytes, index, length, Charsets.ISO_8859_1))
    }

    companion object {
        private const val VERSION = "HTTP/1."
        private const val FIRST_BYTE = 'H'.code.toByte()

        /** Bytes of `HTTP/1.1 2`; a status line may be cut off behind them. */
        private const val STATUS_LINE_BYTES = 10
        private const val STATUS_AT = 9

        /** What a status line begins with, up to its status. */
        private val BEGINNINGS = listOf("HTTP/1.0 ", "HTTP/1.1 ")
            .flatMap { line -> line.indices.map { line.take(it + 1) } }

        /** Bytes of a head in which the names of its request and its signature are searched. */
        private const val HEAD_BYTES = 1_024
        private val STATUS_LINE = Regex("HTTP/1[.][01] [0-9]")

        /** Whether the reason phrase or the value of a header of [response] contains a status line. */
        fun isStatusLineIn(response: HttpResponse): Boolean =
            isStatusLineIn(response.status().reasonPhrase()) || response.headers().any { isStatusLineIn(it.value) }

        private fun isStatusLineIn(text: String) = VERSION in text && STATUS_LINE.containsMatchIn(text)

        private fun isStatusLine(bytes: ByteArray, index: Int): Boolean =
            VERSION.indices.all { bytes[index + it] == VERSION[it].code.toByte() } &&
                bytes[index + STATUS_AT - 1] == ' '.code.toByte() &&
                bytes[index + STATUS_AT] in '0'.code..'9'.code
    }
}
