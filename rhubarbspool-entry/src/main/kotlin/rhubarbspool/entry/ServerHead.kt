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
    val keepAliveMilliseconds: Long
        get() {
            val seconds = headers.get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile(Char::isDigit)
            return seconds?.toLongOrNull()?.times(MILLISECONDS_PER_SECOND) ?: DEFAULT_KEEP_ALIVE_MILLISECONDS
        }

    /** Whether this can be the answer: a success bears the server's proof and the request's id, and is not encoded. */
    fun isAcceptable(names: HeaderNames): Boolean {
        val isSigned = headers.contains(names.requestId) && headers.contains(names.signature)
        return status !in SUCCESS_STATUSES || (isSigned && !headers.contains(HttpHeaderNames.CONTENT_ENCODING))
    }

    /** What the answer means for the run. */
    fun outcome(names: HeaderNames): CallOutcome = when {
        status == MISDIRECTED_STATUS -> CallOutcome.MISDIRECTED
        headers.contains(names.notExecuted) -> CallOutcome.SHED
        status >= FIRST_SERVER_ERROR -> CallOutcome.FAULTY
        else -> CallOutcome.ANSWERED
    }

    companion object {
        private val SUCCESS_STATUSES = 200..299
        private val BODILESS_STATUSES = setOf(204, 304)
        private const val MISDIRECTED_STATUS = 421
        private const val FIRST_SERVER_ERROR = 500
        private const val FIRST_FINAL_STATUS = 200
        private const val KEEP_ALIVE = "Keep-Alive"
        private const val MILLISECONDS_PER_SECOND = 1_000L

        /** How long a connection is kept where the server does not say. */
        private const val DEFAULT_KEEP_ALIVE_MILLISECONDS = 3_000L

        /** The head of [response]. */
        fun of(response: HttpResponse): ServerHead {
            val status = response.status().code()
            val isFramed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
            val reusable = HttpUtil.isKeepAlive(response) && (isFramed || status in BODILESS_STATUSES)
            return ServerHead(status, response.headers(), reusable)
        }

        /** Whether [response] belongs to another request than [id], or is not final. */
        fun isUnrelated(response: HttpResponse, id: String, names: HeaderNames): Boolean {
            val echoedId = response.headers().get(names.requestId)
            return response.status().code() < FIRST_FINAL_STATUS || (echoedId != null && echoedId != id)
        }
    }
}
