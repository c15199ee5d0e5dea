/*
 * The answers of one caller's connection, in the order of its requests.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Open turns; [isStopping] says whether connections end with their next answer. */
internal class TurnQueue(private val isStopping: () -> Boolean) {
    private val turns = ArrayDeque<CallerTurn>()

    /** Whether no answer is due. */
    val isIdle: Boolean get() = turns.isEmpty()

    /** Whether the connection takes no more requests. */
    var isClosed = false
        private set

    /** Monotonic time at which the last answer ended. */
    var lastCompletedAt = 0L
        private set

    /** A turn for the next request on [channel]. */
    fun add(channel: Channel, keepAlive: Boolean, clock: () -> Long): CallerTurn {
        val turn = CallerTurn(channel, keepAlive, isStopping) { onCompleted(it, clock()) }
        turns += turn
        if (turns.size == 1) turn.activate()
        return turn
    }

    /** More can be written. */
    fun onWritable() {
        turns.firstOrNull()?.onWritable?.invoke()
    }

    /** The connection has ended. */
    fun close() {
        isClosed = true
        val pending = turns.toList()
        turns.clear()
        pending.forEach(CallerTurn::onDisconnected)
    }

    /** Requests behind the last answer of a connection count as not read. */
    private fun onCompleted(turn: CallerTurn, now: Long) {
        lastCompletedAt = now
        if (turns.firstOrNull() !== turn) return
        while (turns.firstOrNull()?.isComplete == true) {
            val completed = turns.removeFirst()
            if (completed.isLast) {
                close()
                completed.closeIfLast()
            }
            turns.firstOrNull()?.activate()
        }
    }
}
