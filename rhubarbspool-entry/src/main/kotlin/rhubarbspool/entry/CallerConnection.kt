/*
 * One caller's connection: reads whole requests, within the operators' bounds, and keeps the order of their answers.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** A caller's request, whole. */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val arrivedAt: Long,
)

/** Takes whole requests. */
internal interface RequestHandler {
    /** Handles [request]; the answer goes to [turn]. */
    fun handle(request: CallerRequest, turn: CallerTurn)

    /** Answers with [error] before there was a whole request. */
    fun refuse(error: RequestError, turn: CallerTurn)

    /** Most bytes that a request's body may have. */
    val bodyLimit: Long

    /** Whether the process is stopping, so that connections end with their next answer. */
    val isStopping: Boolean
}

/** Handles one connection. */
internal class CallerConnection(
    private val handler: RequestHandler,
    private val clock: () -> Long,
    private val closed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val turns = ArrayDeque<CallerTurn>()
    private var reading: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var ending = false
    private var busySince = clock()

    /** Whether nothing is under way. */
    val isIdle: Boolean get() = turns.isEmpty() && reading == null

    /** Monotonic time of the last request or answer. */
    val activeAt: Long get() = busySince

    /** Closes the connection. */
    fun close() {
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            busySince = clock()
            if (!ending && message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) turns.firstOrNull()?.onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        ending = true
        val open = turns.toList()
        turns.clear()
        open.forEach(CallerTurn::gone)
        closed(this)
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
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        last(RequestError(if (tooLong) ErrorKind.HEADERS_TOO_LARGE else ErrorKind.MALFORMED_REQUEST))
    }

    private fun begin(request: HttpRequest) {
        reading = request
        body = ByteArrayOutputStream(0)
        if (HttpUtil.getContentLength(request, 0L) > handler.bodyLimit) return last(RequestError(ErrorKind.BODY_TOO_LARGE))
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun content(content: HttpContent) {
        val request = reading ?: return
        val bytes = content.content().readableBytes()
        if (body.size() + bytes > handler.bodyLimit) return last(RequestError(ErrorKind.BODY_TOO_LARGE))
        content.content().readBytes(body, bytes)
        if (content !is LastHttpContent) return
        reading = null
        val whole = CallerRequest(request.method().name(), request.uri(), request.headers(), body.toByteArray(), clock())
        handler.handle(whole, turn(HttpUtil.isKeepAlive(request)))
    }

    /** Answers with [error] and takes no more requests. */
    private fun last(error: RequestError) {
        reading = null
        ending = true
        handler.refuse(error, turn(keepAlive = false))
    }

    private fun turn(keepAlive: Boolean): CallerTurn {
        val turn = CallerTurn(context.channel(), keepAlive, handler::isStopping, ::finished)
        turns += turn
        if (turns.size == 1) turn.start()
        return turn
    }

    private fun finished(turn: CallerTurn) {
        busySince = clock()
        if (turns.firstOrNull() !== turn) return
        while (turns.firstOrNull()?.isComplete == true) {
            val done = turns.removeFirst()
            if (done.isLast) return endWith(done)
            turns.firstOrNull()?.start()
        }
    }

    /** Requests behind the last answer count as not read. */
    private fun endWith(done: CallerTurn) {
        ending = true
        val behind = turns.toList()
        turns.clear()
        behind.forEach(CallerTurn::gone)
        done.closeIfLast()
    }
}
