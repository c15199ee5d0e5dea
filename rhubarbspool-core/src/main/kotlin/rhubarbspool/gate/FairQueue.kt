/*
 * Requests that wait for one server, in the order of their due times. A request is due when it arrives; one whose
 * caller or key asked for more than its share of the server just before is due later, so neither a busy caller nor
 * a hot key delays the others. Time passes for everyone, so nothing waits for ever, and callers within their share
 * are served in the order in which they came.
 */
package rhubarbspool.gate

import java.util.TreeMap

/** Waiting calls in the order in which they are to be served. Times are milliseconds. */
internal class FairQueue {
    private data class Position(val due: Double, val sequence: Long) : Comparable<Position> {
        override fun compareTo(other: Position): Int = compareValuesBy(this, other, { it.due }, { it.sequence })
    }

    private val queued = TreeMap<Position, GateRequest>()
    private val positions = HashMap<Long, Position>()
    private val callerDueTimes = HashMap<String, Double>()
    private val keyDueTimes = HashMap<String, Double>()
    private var sequence = 0L

    val size: Int get() = queued.size

    /** Requests in the order in which they are to be served. */
    val requests: Collection<GateRequest> get() = queued.values

    /** Adds [request] at [now] to a server that takes [drainTime] for one request over all its slots. */
    fun add(request: GateRequest, now: Long, drainTime: Double) {
        val start = maxOf(now.toDouble(), callerDueTimes[request.caller] ?: 0.0, keyDueTimes[request.key] ?: 0.0)
        val next = start + drainTime * SHARE_DIVISOR
        callerDueTimes[request.caller] = next
        keyDueTimes[request.key] = next
        insert(request, Position(start + request.priority.handicap * drainTime, ++sequence))
    }

    /** Puts [request] back in front: it was taken before. */
    fun addFirst(request: GateRequest) {
        val first = queued.firstEntry()?.key?.due ?: 0.0
        insert(request, Position(first - 1, ++sequence))
    }

    /** Takes out the first request that [admits] lets through. */
    fun poll(admits: (GateRequest) -> Boolean): GateRequest? {
        val entry = queued.entries.firstOrNull { admits(it.value) } ?: return null
        val request = entry.value
        remove(request.id)
        return request
    }

    /** Takes the request [id] out; false when it does not wait. */
    fun remove(id: Long): Boolean {
        val position = positions.remove(id) ?: return false
        return queued.remove(position) != null
    }

    /** Forgets callers and keys that have been within their share at [now]. */
    fun removeIdle(now: Long) {
        callerDueTimes.values.removeAll { it <= now }
        keyDueTimes.values.removeAll { it <= now }
    }

    private fun insert(request: GateRequest, position: Position) {
        queued[position] = request
        positions[request.id] = position
    }

    private companion object {
        /** A caller or key may take one part in so many of the server before it is delayed. */
        const val SHARE_DIVISOR = 4
    }
}
