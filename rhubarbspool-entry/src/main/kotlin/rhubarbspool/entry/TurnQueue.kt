/*
 * The responses of one caller's connection, in the order of its requests. Requests behind the last response count as
 * not read, so the last response is one behind which no request was sent to a server, and none is from then on.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/**
 * The responses that have not ended; [isStopping] says whether connections close as soon as they can, and [onShortened]
 * is called when responses have ended.
 */
internal class TurnQueue(private val isStopping: () -> Boolean, private val onShortened: () -> Unit) {
    private val turns = ArrayDeque<CallerTurn>()

    /** Whether no response is pending. */
    val isIdle: Boolean get() = turns.isEmpty()

    private var hasClosed = false

    /** Whether the connection accepts no more requests. */
    val isClosed: Boolean get() = hasClosed || turns.lastOrNull()?.isLast == true

    /** Monotonic time at which the last response ended, in milliseconds. */
    var lastCompletedAt = 0L
        private set

    /** Adds the response to the next request on [channel]. */
    fun add(channel: Channel, keepAlive: Boolean, clock: () -> Long): CallerTurn {
        val turn = CallerTurn(channel, keepAlive, { isStopping() && dropBehind(it) }) { onCompleted(it, clock()) }
        turns += turn
        if (turns.size == 1) turn.activate()
        return turn
    }

    /** More can be written to the connection. */
    fun onWritable() {
        turns.firstOrNull()?.onWritable?.invoke()
    }

    /** The connection has closed; all pending requests lose their caller. */
    fun close() {
        hasClosed = true
        val open = turns.toList()
        turns.clear()
        open.forEach(CallerTurn::onDisconnected)
    }

    /** Drops the requests behind [turn], unless one of them was sent to a server; returns whether it dropped them. */
    private fun dropBehind(turn: CallerTurn): Boolean {
        val behind = turns.subList(turns.indexOf(turn) + 1, turns.size).toList()
        if (behind.any { it.executions.attemptCount > 0 }) return false
        turns.removeAll(behind)
        behind.forEach(CallerTurn::onDisconnected)
        return true
    }

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
        onShortened()
    }
}
