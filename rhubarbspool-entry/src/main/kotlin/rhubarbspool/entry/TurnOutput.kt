/*
 * Parts of an answer that wait for their turn on a caller's connection.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Writes parts to [channel] once it is their turn. */
internal class TurnOutput(private val channel: Channel) {
    private val pending = ArrayDeque<HttpObject>()
    private var isSealed = false

    /** Whether the parts are written as they come. */
    var isCurrent = false
        private set

    /** Whether more can be written at once. */
    val isWritable: Boolean get() = isCurrent && channel.isWritable

    /** Writes [part] now or when it is its turn; nothing after [seal]. */
    fun write(part: HttpObject) {
        if (isSealed) ReferenceCountUtil.release(part) else pending += part
        flush()
    }

    /** What comes after this is dropped. */
    fun seal() {
        isSealed = true
    }

    /** It is this output's turn. */
    fun activate() {
        isCurrent = true
        flush()
    }

    /** Drops what was not written. */
    fun discard() {
        isSealed = true
        pending.forEach(ReferenceCountUtil::release)
        pending.clear()
    }

    private fun flush() {
        if (!isCurrent || pending.isEmpty()) return
        while (pending.isNotEmpty()) channel.write(pending.removeFirst(), channel.voidPromise())
        channel.flush()
    }
}
