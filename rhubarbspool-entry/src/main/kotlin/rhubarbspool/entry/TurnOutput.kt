/*
 * Output of a response that waits until the earlier responses of its connection have ended.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Writes to [channel] once activated; queues output until then. */
internal class TurnOutput(private val channel: Channel) {
    private val pending = ArrayDeque<HttpObject>()
    private var sealed = false

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

    private fun flush() {
        if (!isCurrent || pending.isEmpty()) return
        while (pending.isNotEmpty()) channel.write(pending.removeFirst(), channel.voidPromise())
        channel.flush()
    }
}
