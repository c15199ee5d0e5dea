/*
 * The head of a server's answer, and what it says of the run.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import rhubarbspool.dispatch.CallOutcome

/** The head of an answer; [reusable] when its connection can carry another request afterwards. */
internal class ServerHead(val status: Int, val headers: HttpHeaders, val reusable: Boolean) {
    /** Milliseconds for which the server keeps an idle connection open. */
    val keptOpenMilliseconds: Long
        get() {
            val seconds = headers.get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile(Char::isDigit)
            return seconds?.toLongOrNull()?.times(MILLISECONDS) ?: UNSTATED_MILLISECONDS
        }

    /** Whether this can be the answer: a success bears the server's proof and the request's id, and is not encoded. */
    fun isTrustworthy(names: HeaderNames): Boolean {
        val proven = headers.contains(names.requestId) && headers.contains(names.signature)
        return status !in SUCCESS || (proven && !headers.contains(HttpHeaderNames.CONTENT_ENCODING))
    }

    /** What the answer means for the run. */
    fun outcome(names: HeaderNames): CallOutcome = when {
        status == MISDIRECTED -> CallOutcome.MISDIRECTED
        headers.contains(names.notExecuted) -> CallOutcome.SHED
        status >= FIRST_FAULT -> CallOutcome.FAULTY
        else -> CallOutcome.ANSWERED
    }

    companion object {
        private val SUCCESS = 200..299
        private val BODILESS = setOf(204, 304)
        private const val MISDIRECTED = 421
        private const val FIRST_FAULT = 500
        private const val FIRST_FINAL = 200
        private const val KEEP_ALIVE = "Keep-Alive"
        private const val MILLISECONDS = 1_000L

        /** How long a connection is kept where the server does not say. */
        private const val UNSTATED_MILLISECONDS = 3_000L

        /** The head of [response]. */
        fun of(response: HttpResponse): ServerHead {
            val status = response.status().code()
            val framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
            val reusable = HttpUtil.isKeepAlive(response) && (framed || status in BODILESS)
            return ServerHead(status, response.headers(), reusable)
        }

        /** Whether [response] belongs to another request than [id], or is not final. */
        fun isForeign(response: HttpResponse, id: String, names: HeaderNames): Boolean {
            val echoed = response.headers().get(names.requestId)
            return response.status().code() < FIRST_FINAL || (echoed != null && echoed != id)
        }
    }
}
