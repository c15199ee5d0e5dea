/*
 * One run of a request at a backend server over one connection. Reports each part of the answer and exactly one
 * end. An answer is whole only when its own framing says so.
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

/** How the run ended on the wire. */
internal enum class WireEnd {
    /** The whole answer arrived and the connection can be used again. */
    WHOLE,

    /** The whole answer arrived; the connection is closed. */
    WHOLE_CLOSED,

    /** Nothing was sent. */
    NOT_SENT,

    /** The server closed the connection before its answer was whole. */
    CLOSED_BY_SERVER,

    /** This side gave the run up: silence, a deadline, or nobody waits any more. */
    GIVEN_UP,

    /** The server's answer is not valid HTTP, or its end can't be told. */
    INVALID,
}

/** Hears of one run. */
internal interface ServerCallListener {
    fun onHead(response: HttpResponse)

    fun onBody(bytes: ByteArray)

    fun onEnd(end: WireEnd)
}

/** One run of [request] over [channel]. */
internal class ServerCall(
    private val channel: Channel,
    private val request: FullHttpRequest,
    private val listener: ServerCallListener,
) : ChannelInboundHandlerAdapter() {
    private var ended = false
    private var keepAlive = false
    private var hasFraming = false

    /** Monotonic time of the last byte in either direction. */
    var progressAt: Long = ProcessClock.monotonic()
        private set

    /** Sends the request. */
    fun start() {
        channel.pipeline().addLast(this)
        channel.writeAndFlush(request).addListener { if (!it.isSuccess) end(WireEnd.CLOSED_BY_SERVER) }
    }

    /** Gives the run up and closes the connection. */
    fun abort() {
        end(WireEnd.GIVEN_UP)
    }

    /** Stops or goes on to read from the server, for a caller who reads slowly. */
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

    /** A connection that is closed within a head or a chunk is the server's end, not an invalid answer. */
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
