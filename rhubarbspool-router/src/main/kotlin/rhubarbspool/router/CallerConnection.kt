/*
 * One caller's connection. Requests that arrive while one is under way wait their turn, so answers go out in the
 * order of the requests; a connection with many waiting is not read any further.
 */
package rhubarbspool.router

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** Handles one connection; answers at once with an error when the instance is [full]. */
internal class CallerConnection(private val entry: CallerEntry, private val full: Boolean) : ChannelInboundHandlerAdapter() {
    /** A request that is being read or waits for its turn. */
    private class Waiting(val keepAlive: Boolean, val head: AcceptedHead?, var error: RequestError?) {
        val body = ByteArrayOutputStream()
        var whole = false
    }

    private val waiting = ArrayDeque<Waiting>()
    private var reading: Waiting? = null
    private var answer: CallerAnswer? = null
    private var ticket: Ticket? = null
    private var closing = false
    private lateinit var context: ChannelHandlerContext

    /** Whether nothing is under way. */
    val isIdle: Boolean get() = answer == null && waiting.isEmpty() && reading == null

    /** Closes the connection when nothing is under way on it. */
    fun closeIfIdle() {
        context.executor().execute { if (isIdle) context.close() }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!closing && message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) answer?.writable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        ticket?.cancel()
        answer?.gone()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && answer == null) context.close()
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return malformed(message.decoderResult().cause())
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) content(message)
    }

    private fun malformed(cause: Throwable) {
        val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val kind = if (tooLarge) ErrorKind.HEADERS_TOO_LARGE else ErrorKind.MALFORMED_REQUEST
        reading = null
        closing = true
        enqueue(Waiting(keepAlive = false, head = null, error = RequestError(kind)).also { it.whole = true })
    }

    private fun begin(request: HttpRequest) {
        val peer = context.channel().remoteAddress().toString().substringBeforeLast(':')
        val accepted = if (full) null else entry.accept(request, peer)
        val error = if (accepted == null) RequestError(ErrorKind.TOO_MANY_CONNECTIONS, "", FULL_RETRY_MILLISECONDS) else accepted.leftOrNull()
        val bodyFollows = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0
        val next = Waiting(HttpUtil.isKeepAlive(request) && (error == null || !bodyFollows), accepted?.getOrNull(), error)
        reading = next
        if (error != null && bodyFollows) closing = true
        if (error == null && HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
        if (closing) finishReading(next)
    }

    private fun content(content: HttpContent) {
        val current = reading ?: return
        val limit = current.head?.match?.configuration?.limits?.requestBodyBytes ?: 0
        if (current.body.size() + content.content().readableBytes() > limit) {
            current.error = current.error ?: RequestError(ErrorKind.BODY_TOO_LARGE)
            closing = true
            return finishReading(Waiting(false, null, current.error))
        }
        content.content().readBytes(current.body, content.content().readableBytes())
        if (content is LastHttpContent) finishReading(current)
    }

    private fun finishReading(request: Waiting) {
        reading = null
        request.whole = true
        enqueue(request)
    }

    private fun enqueue(request: Waiting) {
        waiting += request
        if (waiting.size >= PIPELINED) context.channel().config().isAutoRead = false
        if (answer == null) next()
    }

    private fun next() {
        val request = waiting.removeFirstOrNull() ?: return
        if (waiting.size < PIPELINED) context.channel().config().isAutoRead = true
        val keepAlive = request.keepAlive && !entry.isStopping
        val started = CallerAnswer(context, entry.metrics, keepAlive, request.head?.match, ::answered)
        answer = started
        val error = request.error
        val head = request.head
        if (error != null || head == null) {
            started.refuse(error ?: RequestError(ErrorKind.MALFORMED_REQUEST))
        } else {
            val accepted = entry.start(head.withBody(request.body.toByteArray()), started)
            if (answer === started) ticket = accepted
        }
    }

    private fun answered(keepAlive: Boolean) {
        answer = null
        ticket = null
        if (!keepAlive || (closing && waiting.isEmpty())) {
            closing = true
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        } else {
            context.executor().execute { if (answer == null) next() }
        }
    }

    private companion object {
        const val PIPELINED = 8
        const val FULL_RETRY_MILLISECONDS = 1_000L
    }
}
