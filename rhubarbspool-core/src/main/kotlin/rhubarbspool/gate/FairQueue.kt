/*
 * Requests that wait for one server. Served by start tags as in start-time fair queueing: a request's tag is the
 * later of its caller's and its key's last tag, so neither a busy caller nor a hot key starves the others. A
 * class of low priority starts with a handicap and is therefore late but never starved.
 */
package rhubarbspool.gate

import java.util.TreeMap

/** Waiting calls in the order in which they are to be served. */
internal class FairQueue {
    private data class Position(val tag: Double, val sequence: Long) : Comparable<Position> {
        override fun compareTo(other: Position): Int = compareValuesBy(this, other, { it.tag }, { it.sequence })
    }

    private val waiting = TreeMap<Position, GateRequest>()
    private val positions = HashMap<Long, Position>()
    private val callers = HashMap<String, Double>()
    private val keys = HashMap<String, Double>()
    private var virtualTime = 0.0
    private var sequence = 0L

    val size: Int get() = waiting.size

    /** Requests in the order in which they are to be served. */
    val requests: Collection<GateRequest> get() = waiting.values

    /** Adds [request] behind what its caller and its key already wait for. */
    fun add(request: GateRequest) {
        val start = maxOf(virtualTime, callers[request.caller] ?: 0.0, keys[request.key] ?: 0.0)
        callers[request.caller] = start + 1
        keys[request.key] = start + 1
        insert(request, Position(start + request.priority.handicap, ++sequence))
    }

    /** Puts [request] back in front: it was taken before. */
    fun addFirst(request: GateRequest) = insert(request, Position(virtualTime - 1, ++sequence))

    /** Takes out the first request that [admits] lets through. */
    fun take(admits: (GateRequest) -> Boolean): GateRequest? {
        val entry = waiting.entries.firstOrNull { admits(it.value) } ?: return null
        virtualTime = maxOf(virtualTime, entry.key.tag)
        remove(entry.value.id)
        if (waiting.isEmpty()) forgetFlows()
        return entry.value
    }

    /** Takes the request [id] out; false when it does not wait. */
    fun remove(id: Long): Boolean {
        val position = positions.remove(id) ?: return false
        return waiting.remove(position) != null
    }

    private fun insert(request: GateRequest, position: Position) {
        waiting[position] = request
        positions[request.id] = position
    }

    private fun forgetFlows() {
        callers.clear()
        keys.clear()
        virtualTime = 0.0
    }
}
