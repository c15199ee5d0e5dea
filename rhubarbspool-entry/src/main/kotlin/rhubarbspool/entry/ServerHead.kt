/*
 * The head of a server's response, and what it says about the call.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import rhubarbspool.dispatch.AttemptResponse
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.errors.PromiseStatuses

/**
 * The head of a response.
 *
 * @property isFramed whether the head says where the response ends.
 * @property reusable whether its connection can carry another request afterwards.
 */
internal class ServerHead(
    val status: Int,
    val headers: HttpHeaders,
    val isFramed: Boolean,
    val reusable: Boolean,
) {
    /** Milliseconds for which the server keeps an idle connection open. */
    val keepAliveMilliseconds: Long
        get() {
            val seconds = headers.get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile(Char::isDigit)
            return seconds?.toLongOrNull()?.times(MILLISECONDS_PER_SECOND) ?: DEFAULT_KEEP_ALIVE_MILLISECONDS
        }

    /** The limit that the server names, in requests per second; null if it names none that can be read. */
    fun limit(names: HeaderNames): Double? =
        headers.get(names.limit)?.trim()?.takeIf(DECIMAL_NUMBER::matches)?.toDouble()

    /**
     * Whether the server says that it leaves. A misdirected request may have met another server, which took over the
     * address.
     */
    fun announcesLeaving(names: HeaderNames): Boolean =
        status != MISDIRECTED_STATUS && headers.getAll(names.leaving).any { it.trim() == LEAVING }

    /** Milliseconds for which the server, which refused the request, wants no other; null if it names no such time. */
    val pauseMilliseconds: Long?
        get() {
            val seconds = headers.getAll(HttpHeaderNames.RETRY_AFTER).takeIf { status == UNAVAILABLE_STATUS }
                ?.singleOrNull()?.trim()?.takeIf(DECIMAL_NUMBER::matches)
            return seconds?.let { (it.toDouble() * MILLISECONDS_PER_SECOND).toLong() }
        }

    /**
     * Whether the response can be relayed: a successful one must carry the server's signature and a request id and must
     * not be encoded.
     */
    fun isAcceptable(names: HeaderNames): Boolean {
        val isSigned = headers.contains(names.requestId) && headers.contains(names.signature)
        return status !in SUCCESS_STATUSES || (isSigned && !headers.contains(HttpHeaderNames.CONTENT_ENCODING))
    }

    /** What the response says about the attempt of the request with [id]. */
    fun attemptResponse(id: String, names: HeaderNames): AttemptResponse {
        val namesRequest = headers.getAll(names.requestId) == listOf(id)
        return AttemptResponse(status, headers.contains(names.notExecuted), namesRequest)
    }

    /** The outcome of the call; [isRefusal] says whether the response proves that the request was not executed. */
    fun outcome(isRefusal: Boolean): CallOutcome = when {
        isRefusal && status == MISDIRECTED_STATUS -> CallOutcome.MISDIRECTED
        isRefusal -> CallOutcome.SHED
        status >= FIRST_SERVER_ERROR || status in PromiseStatuses -> CallOutcome.FAULTY
        else -> CallOutcome.ANSWERED
    }

    companion object {
        private val SUCCESS_STATUSES = 200..299
        private val DECIMAL_NUMBER = Regex("[0-9]{1,12}([.][0-9]{1,12})?")
        private val BODILESS_STATUSES = setOf(204, 304)
        private const val MISDIRECTED_STATUS = 421
        private const val UNAVAILABLE_STATUS = 503
        private const val LEAVING = "1"
        private const val FIRST_SERVER_ERROR = 500
        private const val FIRST_FINAL_STATUS = 200
        private const val KEEP_ALIVE = "Keep-Alive"
        private const val MILLISECONDS_PER_SECOND = 1_000L

        /** Keep-alive time of a server that does not state one. */
        private const val DEFAULT_KEEP_ALIVE_MILLISECONDS = 3_000L

        /** The head of [response]. */
        fun of(response: HttpResponse): ServerHead {
            val status = response.status().code()
            val hasLength = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
            val isFramed = hasLength || status in BODILESS_STATUSES
            return ServerHead(status, response.headers(), isFramed, HttpUtil.isKeepAlive(response) && isFramed)
        }

        /** Whether [response] is an interim response. */
        fun isInterim(response: HttpResponse): Boolean = response.status().code() < FIRST_FINAL_STATUS
    }
}
