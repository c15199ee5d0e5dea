/*
 * Output of a response that waits until the earlier responses of its connection have ended.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** Writes to [channel] once activated; queues output until then. */
internal class TurnOutput(private val channel: Channel) {
    private val pending = ArrayDeque<HttpObject>()
    private var sealed = false
    private var endsWithConnection = false

    /** Whether the earlier responses have ended, so that output is written immediately. */
    var isCurrent = false
        private set

    /** Whether more can be written without queueing. */
    val isWritable: Boolean get() = isCurrent && channel.isWritable

    /** Writes [part], or queues it until [activate]; after [seal] it is discarded. */
    fun write(part: HttpObject) {
        if (sealed) ReferenceCountUtil.release(part) else pending += part
        flush()
    }

    /** Discards all later writes. */
    fun seal() {
        sealed = true
    }

    /** Writes the queued output; later output is written immediately. */
    fun activate() {
        isCurrent = true
        flush()
    }

    /** Discards the queued output and all later writes. */
    fun discard() {
        sealed = true
        pending.forEach(ReferenceCountUtil::release)
        pending.clear()
    }

    /** The end of the response is that of the channel, which is reset if it closes before all was written. */
    fun endWithConnection() {
        endsWithConnection = true
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
    }

    /**
     * Closes the channel when all was written and the caller has closed it, or a while after that: input that is still
     * under way to a closed channel resets it, and with it what the caller has not received yet. A response that ends
     * with the connection and is not [isWhole] must not look so.
     */
    fun closeChannel(isWhole: Boolean) {
        if (endsWithConnection && !isWhole) {
            channel.close()
            return
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            if (endsWithConnection && it.isSuccess) channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER)
            if (channel is DuplexChannel) channel.shutdownOutput() else channel.close()
            channel.eventLoop().schedule({ channel.close() }, LINGER_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    private fun flush() {
        if (!isCurrent || pending.isEmpty()) return
        while (pending.isNotEmpty()) channel.write(pending.removeFirst(), channel.voidPromise())
        channel.flush()
    }

    private companion object {
        /** Time in which callers receive the rest of a response and close their connection. */
        const val LINGER_MILLISECONDS = 1_000L

        /** The option's value for a channel that closes in the usual way. */
        const val NO_LINGER = -1
    }
}
