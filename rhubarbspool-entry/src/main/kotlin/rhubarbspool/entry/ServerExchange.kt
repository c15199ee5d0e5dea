/*
 * One request to a backend server over one connection. Small responses are buffered until they are complete, so that a
 * request whose response breaks off can be retried; large ones are streamed, but for their last part. A response is
 * relayed once the connection has nothing more to read, because what follows may show that it was not whole. The
 * decoder lives as long as the exchange: whatever it still holds at the end belongs to no request.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import rhubarbspool.dispatch.Disorder
import java.util.concurrent.TimeUnit

/** Why an exchange ended without a complete response. */
internal enum class BreakCause(val isWrongResponse: Boolean) {
    CLOSED(false),
    NOT_HTTP(true),
    WRONG_ANSWER(true),
    GIVEN_UP(false),
}

/** Receives the events of one exchange; exactly one of [onAnswer], [onStreamEnded] and [onBroken] ends it. */
internal interface ExchangeListener {
    /** A buffered response is complete; the listener owns [body]. */
    fun onAnswer(head: ServerHead, body: ByteBuf)

    /** A streamed response starts. */
    fun onStreamStarted(head: ServerHead)

    /** The next part of a streamed response; the listener owns [bytes]. */
    fun onStreamBytes(bytes: ByteBuf)

    /** A streamed response is complete. */
    fun onStreamEnded()

    /** No complete response will arrive; [streaming] if a part of it was already streamed. */
    fun onBroken(cause: BreakCause, streaming: Boolean)
}

/** Sends [request], which has [id], over [connection]. */
internal class ServerExchange(
    private val connection: ServerConnection,
    private val request: FullHttpRequest,
    private val id: String,
    private val names: HeaderNames,
    private val listener: ExchangeListener,
) : ChannelInboundHandlerAdapter() {
    private val channel: Channel = connection.channel
    private val record = connection.record
    private val isReused = record.requestCount > 0
    private val codec = ServerCodec()
    private val response = ResponseAssembly(record, names)
    private var hasReceived = false
    private var isStreaming = false
    private var connectionFailed = false
    private var isRequestWritten = false
    private var isSettling = false
    private var isCompleting = false
    private var hasEnded = false

    /** Sends the request. */
    fun start() {
        record.begin(id)
        codec.addTo(channel.pipeline())
        channel.pipeline().addLast(this)
        channel.writeAndFlush(request).addListener {
            isRequestWritten = true
            if (!it.isSuccess) abort(BreakCause.CLOSED) else if (hasEnded) releaseChannel()
        }
    }

    /** Aborts the exchange for [cause] and closes the connection, which makes the server drop the request. */
    fun abort(cause: BreakCause = BreakCause.GIVEN_UP) {
        if (hasEnded) return
        hasEnded = true
        response.release()
        if (cause == BreakCause.NOT_HTTP) record.onDisorder(Disorder.NOT_HTTP)
        connection.close()
        listener.onBroken(cause, isStreaming)
    }

    /** Whether nothing was received on a connection that was used before, so that it may be silent for good. */
    val isSilent: Boolean get() = isReused && !hasReceived

    /** Whether more is read from the server; paused while the caller reads slowly, until the response has arrived. */
    var isReading: Boolean
        get() = channel.config().isAutoRead
        set(enabled) {
            if (!hasEnded && !isSettling) channel.config().isAutoRead = enabled
        }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        hasReceived = true
        try {
            when {
                hasEnded || response.isComplete -> onSurplus()
                message is HttpObject -> response.add(message)?.let(::abort) ?: streamIfLarge()
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!response.isComplete || hasEnded) return
        if (!response.isDoubtful) {
            complete()
        } else if (!isSettling) {
            isSettling = true
            // What follows is not relayed, so it need not wait for the caller.
            channel.config().isAutoRead = true
            channel.eventLoop().schedule(::complete, SETTLE_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) =
        if (response.isComplete) complete() else abort(BreakCause.CLOSED)

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        connectionFailed = true
        if (!response.isComplete) abort(BreakCause.CLOSED)
    }

    /** Something arrived behind the response. */
    private fun onSurplus() {
        record.onDisorder(Disorder.SURPLUS_BYTES)
        if (hasEnded) connection.close()
    }

    /** Streams what has arrived of a large response, except for its end: the response may turn out not to be whole. */
    private fun streamIfLarge() {
        val head = response.head
        if (head == null || response.isComplete) return
        if (!isStreaming && response.bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
            isStreaming = true
            listener.onStreamStarted(head)
        }
        if (isStreaming && !hasEnded && response.bufferedBytes > 0) listener.onStreamBytes(response.takePart())
    }

    /** Ends the exchange with the response that has arrived. */
    private fun complete() {
        val head = response.head
        if (hasEnded || isCompleting || head == null) return
        isCompleting = true
        // What the decoder holds is passed on as it is removed.
        codec.removeFrom(channel.pipeline())
        val flaw = response.flaw(connectionFailed)
        if (flaw != null) return abort(flaw)
        hasEnded = true
        val body = response.copyRest()
        response.release()
        if (isRequestWritten) releaseChannel()
        if (isStreaming) {
            if (body.isReadable) listener.onStreamBytes(body) else body.release()
            listener.onStreamEnded()
        } else {
            listener.onAnswer(head, body)
        }
    }

    private fun releaseChannel() {
        val reusableHead = response.head?.takeIf { it.reusable }
        if (reusableHead == null) {
            connection.close()
        } else {
            if (channel.pipeline().context(this) != null) channel.pipeline().remove(this)
            connection.release(reusableHead.keepAliveMilliseconds)
        }
    }

    private companion object {
        /** Responses up to this size are buffered until they are complete; larger ones are streamed. */
        const val MAXIMUM_BUFFERED_BYTES = 131_072

        /** Time in which the rest of a response arrives behind another one that was written into its body. */
        const val SETTLE_MILLISECONDS = 20L
    }
}
