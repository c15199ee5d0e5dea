/*
 * The one way from an error to the HTTP answer that a caller gets.
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

/** Names of the headers that the system adds to answers. */
internal object AnswerHeaders {
    /** Names the backend server that gave an answer. */
    const val SERVER: String = "rhubarbspool-server"

    /** What became of the request behind an answer that the system made up itself. */
    const val OUTCOME: String = "rhubarbspool-outcome"

    /** Kind of the error behind an answer that the system made up itself. */
    const val ERROR: String = "rhubarbspool-error"

    /** When to come back, in milliseconds. */
    const val RETRY_AFTER: String = "rhubarbspool-retry-after-milliseconds"
}

/** Body of an answer that the system made up itself. */
@Serializable
internal data class ErrorBody(val error: String, val outcome: String, val message: String)

/** Builds answers to errors. */
internal object ErrorResponse {
    private const val MILLISECONDS_PER_SECOND = 1_000L

    /** The answer to [error]. */
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
