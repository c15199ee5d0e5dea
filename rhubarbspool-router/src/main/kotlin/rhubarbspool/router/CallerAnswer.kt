/*
 * Writes one answer to a caller's connection.
 */
package rhubarbspool.router

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.platformJson
import rhubarbspool.errors.RequestError
import rhubarbspool.routing.RouteMatch

/** Body of an answer that the system made up itself. */
@Serializable
internal data class ErrorBody(val error: String, val outcome: String, val message: String)

/** One answer; [finished] hears once whether the connection goes on. */
internal class CallerAnswer(
    private val context: ChannelHandlerContext,
    private val metrics: RouterMetrics,
    private val keepAlive: Boolean,
    private val match: RouteMatch?,
    private val finished: (Boolean) -> Unit,
) : AnswerSink {
    private val startedAt = ProcessClock.monotonic()
    private val whenWritable = ArrayList<() -> Unit>()
    private var began = false
    private var done = false
    private var status = 0

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun onWritable(action: () -> Unit) {
        whenWritable += action
    }

    /** More may be written. */
    fun writable() = whenWritable.toList().forEach { it() }

    /** The caller has gone. */
    fun gone() {
        done = true
    }

    override fun head(head: AnswerHead) {
        if (done) return
        began = true
        status = head.status
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.headers.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(SERVER, head.server)
        HttpUtil.setTransferEncodingChunked(response, head.status !in BODILESS)
        HttpUtil.setKeepAlive(response, keepAlive)
        context.write(response)
    }

    override fun body(bytes: ByteArray) {
        if (!done) context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun complete() = finish {
        context.writeAndFlush(DefaultLastHttpContent())
        keepAlive
    }

    override fun abort() = finish { false }

    override fun refuse(error: RequestError) = finish {
        if (began) {
            false
        } else {
            status = error.kind.status
            metrics.refused(error.kind)
            context.writeAndFlush(responseOf(error))
            keepAlive
        }
    }

    private fun finish(write: () -> Boolean) {
        if (done) return
        done = true
        val goesOn = write()
        val service = match?.configuration?.service?.text ?: "none"
        metrics.answered(service, status, ProcessClock.monotonic() - startedAt)
        finished(goesOn)
    }

    private fun responseOf(error: RequestError): DefaultFullHttpResponse {
        val kind = error.kind
        val text = platformJson.encodeToString(ErrorBody(kind.name.lowercase(), kind.outcome.label, kind.summary))
        val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.status), content)
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        headers.set(OUTCOME, kind.outcome.label)
        headers.set(ERROR, kind.name.lowercase())
        if (kind.retryable) retryAfter(error).let { milliseconds ->
            headers.set(HttpHeaderNames.RETRY_AFTER, (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND)
            headers.set(RETRY_AFTER, milliseconds)
        }
        HttpUtil.setKeepAlive(response, keepAlive)
        return response
    }

    private fun retryAfter(error: RequestError): Long = maxOf(1, error.retryAfterMilliseconds ?: MILLISECONDS_PER_SECOND)

    companion object {
        /** Names the backend server that gave an answer. */
        const val SERVER: String = "rhubarbspool-server"

        /** What became of the request behind an answer that the system made up itself. */
        const val OUTCOME: String = "rhubarbspool-outcome"

        /** Kind of the error behind an answer that the system made up itself. */
        const val ERROR: String = "rhubarbspool-error"

        /** When to come back, in milliseconds. */
        const val RETRY_AFTER: String = "rhubarbspool-retry-after-milliseconds"
        private const val MILLISECONDS_PER_SECOND = 1_000L
        private val BODILESS = setOf(204, 304)
    }
}
