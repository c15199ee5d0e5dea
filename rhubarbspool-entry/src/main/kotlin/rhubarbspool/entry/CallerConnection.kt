/*
 * Handles one caller's connection: reads whole requests and sends the responses in the order of the requests.
 */
package rhubarbspool.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import rhubarbspool.errors.RequestError

/** Handles whole requests. */
internal interface RequestHandler {
    /** Handles [request]; the response is written to [turn]. */
    fun handle(request: CallerRequest, turn: CallerTurn)

    /** Writes an error response for [error] to [turn], for input that did not become a whole request. */
    fun reject(error: RequestError, turn: CallerTurn)

    /** Maximum size of a request body in bytes. */
    val bodyLimit: Long

    /** Memory for request bodies; the handler releases a body when its request is completed. */
    val bodyMemory: BodyMemory

    /** Whether the process is stopping; connections then close after their next response. */
    val isStopping: Boolean
}

/** Handles one connection; calls [onClosed] when it is closed. */
internal class CallerConnection(
    private val handler: RequestHandler,
    private val clock: () -> Long,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter(), ReaderListener {
    private lateinit var context: ChannelHandlerContext
    private val reader = RequestReader({ handler.bodyLimit }, handler.bodyMemory, clock, this)
    private val turns = TurnQueue { handler.isStopping }
    private var hasReadFailed = false
    private var lastReadAt = clock()
    private val hasUnsentOutput: Boolean
        get() = context.channel().unsafe().outboundBuffer()?.isEmpty == false

    /** Whether no request is being read and no response is pending or partly sent. */
    val isIdle: Boolean get() = turns.isIdle && reader.isIdle && !hasUnsentOutput

    /** Monotonic time of the last read or completed response, in milliseconds. */
    val lastActiveAt: Long get() = maxOf(lastReadAt, turns.lastCompletedAt)

    /** Closes the connection. */
    fun close() {
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            lastReadAt = clock()
            if (!hasReadFailed && !turns.isClosed && message is HttpObject) reader.read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) turns.onWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reader.close()
        turns.close()
        onClosed(this)
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    override fun onRequest(request: CallerRequest, keepAlive: Boolean) =
        handler.handle(request, turns.add(context.channel(), keepAlive, clock))

    override fun onInvalid(error: RequestError) {
        hasReadFailed = true
        handler.reject(error, turns.add(context.channel(), keepAlive = false, clock))
    }
}
