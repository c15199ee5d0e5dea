/*
 * Handles one caller's connection: reads whole requests and sends the responses in the order of the requests.
 */
package rhubarbspool.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import rhubarbspool.edge.TransferWatch
import rhubarbspool.errors.RequestError
import rhubarbspool.traffic.CallerBounds
import java.io.IOException

/** Handles whole requests. */
internal interface RequestHandler {
    /** Handles [request]; the response is written to [turn]. */
    fun handle(request: CallerRequest, turn: CallerTurn)

    /** Writes an error response for [error] to [turn], for input that did not become a whole request. */
    fun reject(error: RequestError, turn: CallerTurn)

    /** Maximum size of a request body in bytes. */
    val bodyLimit: Long

    /** The time that a request with [headers] may take to arrive, in milliseconds; at least [minimum]. */
    fun arrivalLimit(headers: HttpHeaders, minimum: Long): Long

    /** Memory for request bodies; the handler releases a body when its request is completed. */
    val bodyMemory: BodyMemory

    /** Whether the process is stopping; connections then close after their next response. */
    val isStopping: Boolean
}

/** Handles one connection, which [watch] watches; calls [onClosed] when it is closed. */
internal class CallerConnection(
    private val handler: RequestHandler,
    private val watch: TransferWatch,
    private val clock: () -> Long,
    private val log: DecisionLog,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter(), ReaderListener {
    private lateinit var context: ChannelHandlerContext
    private val interim = InterimResponse()
    private val reader = RequestReader({ handler.bodyLimit }, handler.bodyMemory, clock, this) {
        interim.expect(context, isAnswered)
    }
    private val turns: TurnQueue = TurnQueue({ handler.isStopping }) {
        if (isAnswered) interim.send(context)
        watch.readWhile(mayRead)
    }

    /**
     * Nothing is read behind responses that are not taken. While responses are pending, reading goes on, since only
     * that shows that the caller has left; the codec bounds how many there are.
     */
    private val mayRead: () -> Boolean = { context.channel().isWritable || !turns.isIdle }
    private val isAnswered: Boolean get() = turns.isIdle && !turns.isClosed
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

    /** Closes the connection if the caller exceeds [bounds] at [now]. Pending responses are not cut for slow input. */
    fun closeIfExcessive(bounds: CallerBounds, now: Long) {
        val isStalled = watch.isOutputStalled(now, bounds.idleMilliseconds)
        val took = watch.receivingSince?.let { now - it } ?: 0
        val limit = reader.headers?.let { handler.arrivalLimit(it, bounds.idleMilliseconds) }
        val reason = when {
            isStalled -> "response not taken"
            !turns.isIdle -> null
            limit == null && took > bounds.headerMilliseconds -> "head not complete"
            limit != null && took > limit -> "body not complete"
            else -> null
        }
        reason?.let(::disconnect)
    }

    private fun disconnect(reason: String) {
        log.disconnected(context.channel().remoteAddress(), reason)
        close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            lastReadAt = clock()
            if (!hasReadFailed && !turns.isClosed && message is HttpObject) reader.read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
        watch.readWhile(mayRead)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) turns.onWritable()
        watch.readWhile(mayRead)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reader.close()
        turns.close()
        onClosed(this)
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) close() else disconnect("$cause")
    }

    override fun onRequest(request: CallerRequest, keepAlive: Boolean) {
        interim.cancel()
        watch.onMessageReceived()
        handler.handle(request, turns.add(context.channel(), keepAlive, clock))
    }

    override fun onInvalid(error: RequestError) {
        interim.cancel()
        hasReadFailed = true
        handler.reject(error, turns.add(context.channel(), keepAlive = false, clock))
    }
}
