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
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

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

/** One run of [request], which has [id], over [channel]; [free] gets the connection back if it can be used again. */
internal class ServerExchange(
    private val channel: Channel,
    private val request: FullHttpRequest,
    private val id: String,
    private val names: HeaderNames,
    private val listener: ExchangeListener,
    private val free: (Channel, Long) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var head: ServerHead? = null
    private var skipping = false
    private var streaming = false
    private var failed = false
    private var written = false
    private var ended = false
    private val held = Unpooled.compositeBuffer(MAXIMUM_PARTS)

    /** Sends the request. */
    fun start() {
        channel.pipeline().addLast(this)
        channel.writeAndFlush(request).addListener {
            written = true
            if (!it.isSuccess) giveUp(BreakCause.CLOSED) else if (ended) giveBack()
        }
    }

    /** Gives the run up for [cause] and closes the connection, which makes the server drop the request. */
    fun giveUp(cause: BreakCause = BreakCause.GIVEN_UP) {
        if (ended) return
        ended = true
        held.release()
        channel.close()
        listener.broken(cause, streaming)
    }

    /** Whether more is read from the server; not for a moment while its caller reads slowly. */
    var reads: Boolean
        get() = channel.config().isAutoRead
        set(wanted) {
            if (!ended) channel.config().isAutoRead = wanted
        }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (ended) context.close()
            if (!ended && message is HttpResponse) began(message)
            if (!ended && message is HttpContent) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = giveUp(BreakCause.CLOSED)

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failed = true
        giveUp(BreakCause.CLOSED)
    }

    private fun began(response: HttpResponse) {
        val next = ServerHead.of(response)
        skipping = ServerHead.isForeign(response, id, names)
        when {
            response.decoderResult().isFailure -> giveUp(BreakCause.NOT_HTTP)
            skipping -> Unit
            next.isTrustworthy(names) -> head = next
            else -> giveUp(BreakCause.WRONG_ANSWER)
        }
    }

    private fun content(content: HttpContent) {
        val current = head
        when {
            content.decoderResult().isFailure -> giveUp(BreakCause.NOT_HTTP)
            current != null && !skipping -> {
                if (content.content().isReadable) take(current, content.content().retain())
                if (content is LastHttpContent) whole(current)
            }
        }
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

    /** A body that is only ended by its connection is whole unless the connection failed. */
    private fun whole(head: ServerHead) {
        if (failed || ended) return giveUp(BreakCause.CLOSED)
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
        val kept = head?.takeIf { it.reusable && channel.isActive }
        if (kept == null) {
            channel.close()
        } else {
            channel.pipeline().remove(this)
            free(channel, kept.keptOpenMilliseconds)
        }
    }

    private companion object {
        /** Answers up to this size are held until they are whole. */
        const val HELD_BYTES = 131_072
        const val MAXIMUM_PARTS = 4_096
    }
}
