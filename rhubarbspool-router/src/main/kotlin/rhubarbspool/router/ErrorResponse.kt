/*
 * Builds the HTTP responses for errors, the same for all callers.
 */
package rhubarbspool.router

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import rhubarbspool.edge.platformJson
import rhubarbspool.errors.RequestError

/** Names of the headers that the router adds to responses. */
internal object AnswerHeaders {
    /** The backend server that sent the response. */
    const val SERVER: String = "rhubarbspool-server"

    /** Whether the request ran, for responses that the router generated. */
    const val OUTCOME: String = "rhubarbspool-outcome"

    /** Kind of the error, for responses that the router generated. */
    const val ERROR: String = "rhubarbspool-error"

    /** Delay before a retry, in milliseconds. */
    const val RETRY_AFTER: String = "rhubarbspool-retry-after-milliseconds"
}

/** Body of a response that the router generated. */
@Serializable
internal data class ErrorBody(val error: String, val outcome: String, val message: String)

/** Builds error responses. */
internal object ErrorResponse {
    private const val MILLISECONDS_PER_SECOND = 1_000L

    /** The response for [error]. */
    fun of(error: RequestError, keepAlive: Boolean): DefaultFullHttpResponse {
        val kind = error.kind
        val text = platformJson.encodeToString(ErrorBody(kind.name.lowercase(), kind.outcome.label, kind.summary))
        val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.status), content)
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        headers.set(AnswerHeaders.OUTCOME, kind.outcome.label)
        headers.set(AnswerHeaders.ERROR, kind.name.lowercase())
        if (kind.retryable) {
            val milliseconds = maxOf(1, error.retryAfterMilliseconds ?: MILLISECONDS_PER_SECOND)
            headers.set(
                HttpHeaderNames.RETRY_AFTER,
                (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND
            )
            headers.set(AnswerHeaders.RETRY_AFTER, milliseconds)
        }
        HttpUtil.setKeepAlive(response, keepAlive)
        return response
    }
}
