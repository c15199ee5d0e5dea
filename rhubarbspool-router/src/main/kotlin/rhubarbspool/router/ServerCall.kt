/*
 * One exchange with a backend server over one connection. Reports each part of the response and exactly one end. A
 * response is complete only when its framing (length, chunks or a status without body) says so.
 */
package rhubarbspool.router

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import rhubarbspool.edge.ProcessClock

/** How the exchange with the server ended. */
internal enum class WireEnd {
    /** The complete response arrived and the connection can be reused. */
    WHOLE,

    /** The complete response arrived; the connection is closed. */
    WHOLE_CLOSED,

    /** No request was sent. */
    NOT_SENT,

    /** The connection failed, or the server closed it before its response was complete. */
    CLOSED_BY_SERVER,

    /** The router aborted the exchange: the server was silent, a deadline passed, or nobody waits for the response. */
    GIVEN_UP,

    /** The response is not valid HTTP, or has neither a length nor chunks. */
    INVALID,
}

/** Gets the parts of one response, then exactly one end. */
internal interface ServerCallListener {
    fun onHead(response: HttpResponse)

    fun onBody(bytes: ByteArray)

    fun onEnd(end: WireEnd)
}

/** Sends [request] over [channel] and reads the response. */
internal class ServerCall(
    private val channel: Channel,
    private val request: FullHttpRequest,
    private val listener: ServerCallListener,
) : ChannelInboundHandlerAdapter() {
    private var ended = false
    private var keepAlive = false
    private var hasFraming = false

    /** Monotonic time of the last data from the server, or of the last [setReading]. */
    var progressAt: Long = ProcessClock.monotonic()
        private set

    /** Sends the request; call once. */
    fun start() {
        channel.pipeline().addLast(this)
        channel.writeAndFlush(request).addListener { if (!it.isSuccess) end(WireEnd.CLOSED_BY_SERVER) }
    }

    /** Aborts the exchange and closes the connection. */
    fun abort() {
        end(WireEnd.GIVEN_UP)
    }

    /** Pauses or resumes reading from the server: backpressure of a slow caller. */
    fun setReading(enabled: Boolean) {
        progressAt = ProcessClock.monotonic()
        channel.config().isAutoRead = enabled
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        progressAt = ProcessClock.monotonic()
        try {
            if (ended) return
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = end(WireEnd.CLOSED_BY_SERVER)

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = end(WireEnd.CLOSED_BY_SERVER)

    private fun receiveHead(response: HttpResponse) {
        if (response.decoderResult().isFailure) return end(decodingFailure(response))
        keepAlive = HttpUtil.isKeepAlive(response)
        val hasNoBody = response.status().code() in STATUSES_WITHOUT_BODY || request.method().name() == "HEAD"
        hasFraming = hasNoBody || HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
        if (hasFraming) listener.onHead(response) else end(WireEnd.INVALID)
    }

    private fun receiveContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return end(decodingFailure(content))
        if (ended) return
        if (content.content().isReadable) {
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            listener.onBody(bytes)
        }
        if (content is LastHttpContent) end(if (keepAlive) WireEnd.WHOLE else WireEnd.WHOLE_CLOSED)
    }

    /** A connection closed within a head or a chunk counts as closed by the server, not as an invalid response. */
    private fun decodingFailure(message: HttpObject): WireEnd {
        val isPremature = message.decoderResult().cause() is PrematureChannelClosureException
        return if (isPremature) WireEnd.CLOSED_BY_SERVER else WireEnd.INVALID
    }

    private fun end(end: WireEnd) {
        if (ended) return
        ended = true
        if (end == WireEnd.WHOLE) {
            channel.config().isAutoRead = true
            channel.pipeline().remove(this)
        } else {
            channel.close()
        }
        listener.onEnd(end)
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
