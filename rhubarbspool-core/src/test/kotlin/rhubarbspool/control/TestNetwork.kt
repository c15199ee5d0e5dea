/*
 * Simulated time, a network that delays, loses and reorders messages, and a table that may be cut off, down or slow.
 */
package rhubarbspool.control

import java.util.PriorityQueue
import kotlin.random.Random

internal class TestNetwork(val random: Random) {
    private data class Event(val at: Long, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.sequence })
    private val cutPairs = HashMap<Pair<Int, Int>, Long>()
    private val cutFromTable = HashMap<Int, Long>()
    private var sequence = 0L

    val table = FakeTable()
    var time = 0L
        private set
    var tableOutageUntil = 0L
    var tableSlowUntil = 0L
    var loseRepliesUntil = 0L

    fun schedule(at: Long, action: () -> Unit) {
        events += Event(maxOf(at, time), ++sequence, action)
    }

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            time = event.at
            event.action()
        }
        time = end
    }

    fun cut(from: Int, to: Int, until: Long) {
        cutPairs[from to to] = until
    }

    fun cutFromTable(instance: Int, until: Long) {
        cutFromTable[instance] = until
    }

    /** Delivers a message between two instances, possibly late or never. */
    fun send(from: Int, to: Int, action: () -> Unit) {
        val lost = (cutPairs[from to to] ?: 0) > time || random.nextInt(50) == 0
        val delay = if (random.nextInt(50) == 0) random.nextLong(0, 2_000) else random.nextLong(1, 8)
        if (!lost) schedule(time + delay, action)
    }

    /** Delivers a request to the table, where [action] executes it. */
    fun toTable(from: Int, action: () -> Unit) {
        if (canReachTable(from)) schedule(time + tableDelay()) { if (tableOutageUntil <= time) action() }
    }

    /** Delivers the table's response to an instance. */
    fun fromTable(to: Int, action: () -> Unit) {
        if (canReachTable(to)) schedule(time + tableDelay(), action)
    }

    fun heal() {
        cutPairs.clear()
        cutFromTable.clear()
        tableOutageUntil = 0
        tableSlowUntil = 0
        loseRepliesUntil = 0
    }

    private fun canReachTable(instance: Int) = tableOutageUntil <= time && (cutFromTable[instance] ?: 0) <= time

    private fun tableDelay() = if (tableSlowUntil > time) random.nextLong(0, 3_000) else random.nextLong(1, 15)
}
