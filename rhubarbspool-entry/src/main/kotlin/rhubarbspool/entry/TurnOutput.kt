/*
 * Parts of an answer that wait for their turn on a caller's connection.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Writes parts to [channel] once it is their turn. */
internal class TurnOutput(private val channel: Channel) {
    private val waiting = ArrayDeque<HttpObject>()
    private var sealed = false

    /** Whether the parts are written as they come. */
    var isCurrent = false
        private set

    /** Whether more can be written at once. */
    val isWritable: Boolean get() = isCurrent && channel.isWritable

    /** Writes [part] now or when it is its turn; nothing after [seal]. */
    fun write(part: HttpObject) {
        if (sealed) ReferenceCountUtil.release(part) else waiting += part
        flush()
    }

    /** What comes after this is dropped. */
    fun seal() {
        sealed = true
    }

    /** It is this output's turn. */
    fun start() {
        isCurrent = true
        flush()
    }

    /** Drops what was not written. */
    fun drop() {
        sealed = true
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
    }

    private fun flush() {
        if (!isCurrent || waiting.isEmpty()) return
        while (waiting.isNotEmpty()) channel.write(waiting.removeFirst(), channel.voidPromise())
        channel.flush()
    }
}
