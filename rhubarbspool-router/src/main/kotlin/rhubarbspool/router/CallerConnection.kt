/*
 * One caller's connection: reads requests completely, up to the body limit, and enqueues them.
 */
package rhubarbspool.router

import arrow.core.left
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Handles one connection; rejects its requests when the instance has too many connections ([isFull]). */
internal class CallerConnection(
    private val admission: CallerAdmission,
    private val isFull: Boolean
) : ChannelInboundHandlerAdapter() {
    private var reading: ReceivedRequest? = null
    private lateinit var pipelined: PipelinedRequests

    private val openedAt = ProcessClock.monotonic()
    private var hasReceivedRequest = false

    /** Whether no request is in flight; a new connection counts as busy until its first request or a time limit. */
    val isIdle: Boolean
        get() {
            val firstRequestPending =
                !hasReceivedRequest && ProcessClock.monotonic() - openedAt < FIRST_REQUEST_MILLISECONDS
            return pipelined.isIdle && reading == null && !firstRequestPending
        }

    /** Closes the connection if no request is in flight on it. */
    fun closeIfIdle() = pipelined.closeIf { isIdle }

    override fun handlerAdded(context: ChannelHandlerContext) {
        pipelined = PipelinedRequests(admission, context)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!pipelined.isClosing && message is HttpObject) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) pipelined.resumeWriting()
    }

    override fun channelInactive(context: ChannelHandlerContext) = pipelined.onDisconnected()

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && pipelined.isIdle) context.close()
        if (event is ChannelInputShutdownEvent) pipelined.onInputShutdown()
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            val cause = message.decoderResult().cause()
            val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
            reading = null
            pipelined.failAndClose(
                RequestError(if (tooLarge) ErrorKind.HEADERS_TOO_LARGE else ErrorKind.MALFORMED_REQUEST)
            )
        } else {
            if (message is HttpRequest) receiveHead(context, message)
            if (message is HttpContent) receiveContent(message)
        }
    }

    private fun receiveHead(context: ChannelHandlerContext, request: HttpRequest) {
        hasReceivedRequest = true
        val peer = context.channel().remoteAddress().toString().substringBeforeLast(':')
        val accepted = if (isFull) FULL.left() else admission.accept(request, peer)
        val error = accepted.leftOrNull()
        val bodyFollows = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0
        if (error != null && bodyFollows) return pipelined.failAndClose(error)
        reading = ReceivedRequest(HttpUtil.isKeepAlive(request), accepted)
        if (error == null && HttpUtil.is100ContinueExpected(request)) {
            val interimResponse = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.CONTINUE,
                Unpooled.EMPTY_BUFFER
            )
            context.writeAndFlush(interimResponse)
        }
    }

    private fun receiveContent(content: HttpContent) {
        val current = reading ?: return
        val limit = current.head.getOrNull()?.match?.configuration?.limits?.requestBodyBytes ?: 0
        val bytes = content.content().readableBytes()
        val tooLarge = current.body.size() + bytes > limit
        if (tooLarge || content is LastHttpContent) reading = null
        when {
            tooLarge -> pipelined.failAndClose(RequestError(ErrorKind.BODY_TOO_LARGE))
            else -> {
                content.content().readBytes(current.body, bytes)
                if (content is LastHttpContent) pipelined.add(current)
            }
        }
    }

    private companion object {
        /** Time limit for the first request of a connection; enough where caller and router are busy. */
        const val FIRST_REQUEST_MILLISECONDS = 500L
        const val FULL_RETRY_MILLISECONDS = 1_000L
        val FULL = RequestError(ErrorKind.TOO_MANY_CONNECTIONS, retryAfterMilliseconds = FULL_RETRY_MILLISECONDS)
    }
}
