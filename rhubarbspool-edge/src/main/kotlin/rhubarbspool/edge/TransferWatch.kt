/*
 * Tells how long the peer of a connection has been sending a message, and for how long it has taken nothing of what is
 * sent to it, so that a peer that does either without end can be disconnected.
 */
package rhubarbspool.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Watches one connection; the first handler of its pipeline. [clock] returns monotonic milliseconds. */
class TransferWatch(private val clock: () -> Long) : ChannelInboundHandlerAdapter() {
    private data class OutputState(val waitingBytes: Long, val sentOfCurrent: Long)

    private lateinit var channel: Channel
    private var lastOutput = OutputState(0, 0)
    private var outputChangedAt = clock()

    private var startedAt: Long? = null

    /** Time of the first byte of the message that is being received; null between messages and while not reading. */
    val receivingSince: Long? get() = startedAt?.takeIf { channel.config().isAutoRead }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && startedAt == null) startedAt = clock()
        context.fireChannelRead(message)
    }

    /** A whole message has been received. */
    fun onMessageReceived() {
        startedAt = null
    }

    /**
     * Reads while [condition] is true, and stops at once when it is not; the peer has all of its time again for the
     * rest of a message once reading resumes.
     */
    fun readWhile(condition: () -> Boolean) {
        val isReading = channel.config().isAutoRead
        if (isReading && !condition()) channel.config().isAutoRead = false
        if (!isReading && condition()) channel.eventLoop().execute { resume(condition) }
    }

    private fun resume(condition: () -> Boolean) {
        if (channel.config().isAutoRead || !condition()) return
        if (startedAt != null) startedAt = clock()
        channel.config().isAutoRead = true
    }

    /** Whether output has waited for more than [milliseconds] at [now], as seen by the calls so far. */
    fun isOutputStalled(now: Long, milliseconds: Long): Boolean {
        val buffer = channel.unsafe().outboundBuffer()
        val output = OutputState(buffer?.totalPendingWriteBytes() ?: 0, buffer?.currentProgress() ?: 0)
        if (output.waitingBytes == 0L || output != lastOutput) outputChangedAt = now
        lastOutput = output
        return now - outputChangedAt > milliseconds
    }
}
