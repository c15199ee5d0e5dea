/*
 * Writes one HTTP response to a caller's connection.
 */
package rhubarbspool.router

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.RequestError
import rhubarbspool.routing.RouteMatch

/** One response; [onFinished] is called once, with whether the connection stays open. */
internal class CallerAnswer(
    private val context: ChannelHandlerContext,
    private val metrics: RouterMetrics,
    private val keepAlive: Boolean,
    private val match: RouteMatch?,
    private val onFinished: (Boolean) -> Unit,
) : AnswerSink {
    private val startedAt = ProcessClock.monotonic()
    private val whenWritable = ArrayList<() -> Unit>()
    private var headSent = false
    private var done = false
    private var status = 0

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun onWritable(action: () -> Unit) {
        whenWritable += action
    }

    /** The connection is writable again. */
    fun resumeWriting() = whenWritable.toList().forEach { it() }

    /** The caller disconnected: discards the rest of the response. */
    fun onCallerDisconnected() {
        done = true
    }

    override fun head(head: AnswerHead) {
        if (done) return
        headSent = true
        status = head.status
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.headers.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(AnswerHeaders.SERVER, head.server)
        HttpUtil.setTransferEncodingChunked(response, head.status !in STATUSES_WITHOUT_BODY)
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
        if (headSent) {
            false
        } else {
            status = error.kind.status
            metrics.recordRefusal(error.kind)
            context.writeAndFlush(ErrorResponse.of(error, keepAlive))
            keepAlive
        }
    }

    private fun finish(write: () -> Boolean) {
        if (done) return
        done = true
        val keepOpen = write()
        val service = match?.configuration?.service?.text ?: "none"
        metrics.recordAnswer(service, status, ProcessClock.monotonic() - startedAt)
        onFinished(keepOpen)
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
