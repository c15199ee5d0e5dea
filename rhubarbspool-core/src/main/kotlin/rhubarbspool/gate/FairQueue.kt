/*
 * Queue of one server, ordered by due time. A request is due when it arrives, or later if its caller or key has
 * recently used more than its share of the server, so neither a busy caller nor a hot key delays the others. Due times
 * are fixed and time advances for all requests, so none starves, and callers within their share are served in order
 * of arrival.
 */
package rhubarbspool.gate

import java.util.TreeMap

/** Fair queue by caller and key. Times are milliseconds. */
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

    /** Adds [request] at [now]; the server takes [drainTime] per request, averaged over all its slots. */
    fun add(request: GateRequest, now: Long, drainTime: Double) {
        val start = maxOf(now.toDouble(), callerDueTimes[request.caller] ?: 0.0, keyDueTimes[request.key] ?: 0.0)
        val next = start + drainTime * SHARE_DIVISOR
        callerDueTimes[request.caller] = next
        keyDueTimes[request.key] = next
        insert(request, Position(start + request.priority.queuePenalty * drainTime, ++sequence))
    }

    /** Puts [request] at the head of the queue, for a retry. */
    fun addFirst(request: GateRequest) {
        val first = queued.firstEntry()?.key?.due ?: 0.0
        insert(request, Position(first - 1, ++sequence))
    }

    /** Removes and returns the first request that [admits] accepts; null if there is none. */
    fun poll(admits: (GateRequest) -> Boolean): GateRequest? {
        val entry = queued.entries.firstOrNull { admits(it.value) } ?: return null
        val request = entry.value
        remove(request.id)
        return request
    }

    /** Removes the request [id]; false if it is not in the queue. */
    fun remove(id: Long): Boolean {
        val position = positions.remove(id) ?: return false
        return queued.remove(position) != null
    }

    /** Removes the due times of callers and keys that are within their share at [now]. */
    fun removeIdle(now: Long) {
        callerDueTimes.values.removeAll { it <= now }
        keyDueTimes.values.removeAll { it <= now }
    }

    private fun insert(request: GateRequest, position: Position) {
        queued[position] = request
        positions[request.id] = position
    }

    private companion object {
        /** The share of the server that a caller or key may use before it is delayed is one divided by this. */
        const val SHARE_DIVISOR = 4
    }
}
