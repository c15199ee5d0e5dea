/*
 * One request at a backend server over one connection. Small answers are held until they are whole, so that one that
 * breaks off can be replaced; large ones are passed on as they come. An answer that carries another request's id
 * belongs to that one and is dropped.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** The head of a server's answer. */
internal data class ServerHead(val status: Int, val headers: HttpHeaders) {
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Why an exchange did not bring a whole answer. */
internal enum class BreakCause { CLOSED, NOT_HTTP, WRONG_ANSWER, GIVEN_UP }

/** Hears of one exchange; exactly one of [whole], [streamEnded] and [broken] ends it. */
internal interface ExchangeListener {
    /** A whole answer that was held; [body] belongs to the listener. */
    fun whole(head: ServerHead, body: ByteBuf)

    /** A large answer begins. */
    fun streamBegan(head: ServerHead)

    /** More of a large answer; [bytes] belong to the listener. */
    fun streamed(bytes: ByteBuf)

    /** The large answer is whole. */
    fun streamEnded()

    /** No whole answer will come; [streaming] when a part was passed on. */
    fun broken(cause: BreakCause, streaming: Boolean)
}

/** One run of [request], which has [id], over [channel]. */
internal class ServerExchange(
    private val channel: Channel,
    private val request: FullHttpRequest,
    private val id: String,
    private val names: HeaderNames,
    private val listener: ExchangeListener,
    private val reusable: (Channel, Long) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var head: ServerHead? = null
    private var skipping = false
    private var streaming = false
    private var keepAlive = false
    private var failed = false
    private var written = false
    private var ended = false
    private val held = Unpooled.compositeBuffer(MAXIMUM_PARTS)

    /** Sends the request. */
    fun start() {
        channel.pipeline().addLast(this)
        channel.writeAndFlush(request).addListener {
            written = true
            if (!it.isSuccess) breakOff(BreakCause.CLOSED) else if (ended) giveBack()
        }
    }

    /** Gives the run up and closes the connection, which makes the server drop the request. */
    fun giveUp() = breakOff(BreakCause.GIVEN_UP)

    /** Stops or goes on to read, for a caller that reads slowly. */
    fun read(wanted: Boolean) {
        if (!ended) channel.config().isAutoRead = wanted
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (ended) {
                context.close()
                return
            }
            if (message is HttpResponse) began(message)
            if (message is HttpContent && !ended) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = breakOff(BreakCause.CLOSED)

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failed = true
        breakOff(BreakCause.CLOSED)
    }

    private fun began(response: HttpResponse) {
        if (response.decoderResult().isFailure) return breakOff(BreakCause.NOT_HTTP)
        val status = response.status().code()
        val echoed = response.headers().get(names.requestId)
        skipping = status < FIRST_FINAL_STATUS || (echoed != null && echoed != id)
        if (skipping) return
        val next = ServerHead(status, response.headers())
        val proven = echoed != null && next.headers.contains(names.signature)
        val encoded = next.headers.contains(HttpHeaderNames.CONTENT_ENCODING)
        if (next.isSuccess && (!proven || encoded)) return breakOff(BreakCause.WRONG_ANSWER)
        val framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
        keepAlive = HttpUtil.isKeepAlive(response) && (framed || status in BODILESS)
        head = next
    }

    private fun content(content: HttpContent) {
        if (content.decoderResult().isFailure) return breakOff(BreakCause.NOT_HTTP)
        val current = head
        val last = content is LastHttpContent
        if (current == null || skipping) return
        if (content.content().isReadable) take(current, content.content().retain())
        if (last && !ended) whole(current)
    }

    private fun take(head: ServerHead, bytes: ByteBuf) {
        if (streaming) return listener.streamed(bytes)
        held.addComponent(true, bytes)
        if (held.readableBytes() > HELD_BYTES) {
            streaming = true
            listener.streamBegan(head)
            listener.streamed(held.copy())
            held.clear()
        }
    }

    private fun whole(head: ServerHead) {
        if (failed) return breakOff(BreakCause.CLOSED)
        ended = true
        val body = held.copy()
        held.release()
        if (written) giveBack()
        if (streaming) {
            body.release()
            listener.streamEnded()
        } else {
            listener.whole(head, body)
        }
    }

    private fun giveBack() {
        if (!keepAlive || !channel.isActive) {
            channel.close()
            return
        }
        channel.pipeline().remove(this)
        reusable(channel, keptOpen())
    }

    private fun keptOpen(): Long {
        val seconds = head?.headers?.get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile(Char::isDigit)
        return seconds?.toLongOrNull()?.times(MILLISECONDS) ?: UNSTATED_MILLISECONDS
    }

    private fun breakOff(cause: BreakCause) {
        if (ended) return
        ended = true
        held.release()
        channel.close()
        listener.broken(cause, streaming)
    }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"
        const val FIRST_FINAL_STATUS = 200
        const val MILLISECONDS = 1_000L
        val BODILESS = setOf(204, 304)

        /** Answers up to this size are held until they are whole. */
        const val HELD_BYTES = 131_072
        const val MAXIMUM_PARTS = 4_096

        /** How long a connection is kept where the server does not say. */
        const val UNSTATED_MILLISECONDS = 3_000L
    }
}
