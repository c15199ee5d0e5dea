/*
 * The answers of one caller's connection, in the order of its requests.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Open turns; [closing] says whether connections end with their next answer. */
internal class TurnQueue(private val closing: () -> Boolean) {
    private val turns = ArrayDeque<CallerTurn>()

    /** Whether no answer is due. */
    val isIdle: Boolean get() = turns.isEmpty()

    /** Whether the connection takes no more requests. */
    var isEnded = false
        private set

    /** Monotonic time at which the last answer ended. */
    var endedAt = 0L
        private set

    /** A turn for the next request on [channel]. */
    fun add(channel: Channel, keepAlive: Boolean, clock: () -> Long): CallerTurn {
        val turn = CallerTurn(channel, keepAlive, closing) { finished(it, clock()) }
        turns += turn
        if (turns.size == 1) turn.start()
        return turn
    }

    /** More can be written. */
    fun writable() {
        turns.firstOrNull()?.onWritable?.invoke()
    }

    /** The connection has ended. */
    fun end() {
        isEnded = true
        val open = turns.toList()
        turns.clear()
        open.forEach(CallerTurn::gone)
    }

    /** Requests behind the last answer of a connection count as not read. */
    private fun finished(turn: CallerTurn, now: Long) {
        endedAt = now
        if (turns.firstOrNull() !== turn) return
        while (turns.firstOrNull()?.isComplete == true) {
            val done = turns.removeFirst()
            if (done.isLast) {
                end()
                done.closeIfLast()
            }
            turns.firstOrNull()?.start()
        }
    }
}
