/*
 * How a caller is told where the response to its request ends.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/** The framing of a response; the request [isHead] if its response has no body, and its caller [readsChunks] or not. */
internal class CallerFraming(private val isHead: Boolean = false, private val readsChunks: Boolean = true) {
    /** Sets the length of a whole response with [status] and a body of [length] bytes in [headers]. */
    fun setLength(headers: HttpHeaders, status: Int, length: Int) {
        // The server says how long the body would be.
        val isKept = status in BODILESS_STATUSES || (isHead && length == 0)
        if (!isKept) headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
    }

    /** Sets the framing of the streamed [response]; returns whether it ends with the connection. */
    fun setStreamed(response: HttpResponse): Boolean {
        val hasLength = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!hasLength && readsChunks) HttpUtil.setTransferEncodingChunked(response, true)
        return !hasLength && !readsChunks
    }

    private companion object {
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
