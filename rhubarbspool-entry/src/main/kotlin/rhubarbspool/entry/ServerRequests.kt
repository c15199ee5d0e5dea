/*
 * Converts a caller's request to the one sent to a backend server, and the headers of a server's response to those sent
 * to the caller.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.traffic.BackendEntry

/** The load that a server reports. */
internal data class ServerLoad(val running: Int, val waiting: Int, val percent: Int) {
    companion object {
        private const val FIELD_COUNT = 4
        private const val DEFAULT_PERCENT = 100

        /** Parses `running,waiting,slots,percent`; null if [text] is not a load report. */
        fun of(text: String?): ServerLoad? {
            val fields = text?.split(',')?.map { it.trim().toDoubleOrNull()?.toInt() }.orEmpty()
            val isReport = fields.size >= 2 && null !in fields
            val percent = fields.getOrNull(FIELD_COUNT - 1) ?: DEFAULT_PERCENT
            return if (isReport) ServerLoad(fields[0] ?: 0, fields[1] ?: 0, percent) else null
        }
    }
}

/** Converts requests and headers between callers and servers. */
internal object ServerRequests {
    private val HOP_BY_HOP = listOf(
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Expect",
    )

    /** Headers that are meant for all recipients, whatever the options of a connection name. */
    private val END_TO_END = listOf(
        "Host",
        "Content-Length",
        "Content-Encoding",
        "Content-Range",
        "Content-Type",
        "Retry-After",
    )
    private val BODY_METHODS = setOf("POST", "PUT", "PATCH")

    /** The request to send to [entry]; the server stops work on it after [remaining] milliseconds. */
    fun of(request: CallerRequest, entry: BackendEntry, names: HeaderNames, remaining: Long): FullHttpRequest {
        val headers = endToEnd(request.headers, names)
        headers.set(names.timeout, remaining)
        headers.set(names.target, entry.server.text)
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        if (request.body.isNotEmpty() || request.method in BODY_METHODS) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.target,
            Unpooled.wrappedBuffer(request.body),
            headers,
            DefaultHttpHeaders(),
        )
    }

    /** The headers of a server's response as sent to the caller; only proved refusals state that nothing was run. */
    fun answerHeaders(headers: HttpHeaders, names: HeaderNames): HttpHeaders =
        endToEnd(headers, names).remove(names.load).remove(names.notExecuted)

    private fun endToEnd(headers: HttpHeaders, names: HeaderNames): HttpHeaders {
        val copy = headers.copy()
        headers.getAll("Connection").flatMap { it.split(',') }.map(String::trim)
            .filterNot { option -> option.isEmpty() || (END_TO_END + names.all).any { option.equals(it, true) } }
            .forEach { copy.remove(it) }
        HOP_BY_HOP.forEach { copy.remove(it) }
        return copy
    }
}
