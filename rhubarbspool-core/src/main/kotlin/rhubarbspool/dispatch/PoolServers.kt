/*
 * The servers of a pool together: which of them is best for a request, and how long a request would wait.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/** Servers of one pool, and how many requests may wait for them by [limit]. Times are milliseconds. */
internal class PoolServers(private val limit: QueueLimit) {
    private val servers = LinkedHashMap<ServerName, PoolServer>()
    private var coldRate: Double? = null

    /** Requests that arrive, refused ones included. */
    val arrivalRate = ArrivalRate()

    /** Time that a request usually takes. */
    var meanServiceTime: Double = INITIAL_SERVICE_MILLISECONDS
        private set

    /** Takes over [entries] at [now]. */
    fun update(entries: Collection<BackendEntry>, coldRate: Double?, now: Long) {
        this.coldRate = coldRate
        servers.keys.retainAll(entries.mapTo(HashSet()) { it.server })
        entries.forEach { entry ->
            val known = servers[entry.server]
            if (known == null || known.entry.bornWall != entry.bornWall) {
                servers[entry.server] = PoolServer(entry, now)
            } else {
                known.entry = entry
            }
        }
    }

    operator fun get(server: ServerName): PoolServer? = servers[server]

    /** Whether any server may get [ticket], now or later. */
    fun anyAvailable(ticket: Ticket, now: Long): Boolean =
        servers.values.any { it.isAvailable(now) && it.entry.server !in ticket.avoid }

    /** Whether any server takes work at all. */
    fun anyAvailable(now: Long): Boolean = servers.values.any { it.isAvailable(now) }

    /** Whether a server may get [ticket] at once. */
    fun hasCapacity(ticket: Ticket, now: Long): Boolean = free(ticket, now).isNotEmpty()

    /** Expected time until one more request after [queuedAhead] others gets a slot. */
    fun waitTime(queuedAhead: Int, now: Long): Double {
        val fit = servers.values.filter { it.isAvailable(now) }
        val free = fit.count { it.hasCapacity(now, coldRate) }
        val rate = fit.sumOf { it.entry.slots / it.expectedTime(meanServiceTime, now) }
        return when {
            queuedAhead < free -> 0.0
            rate <= 0 -> NO_SERVER_WAIT_MILLISECONDS
            else -> (queuedAhead - free + 1) / rate
        }
    }

    /** How many requests may wait at [now], the newest of which is due in [timeToDue] milliseconds. */
    fun queueLimit(timeToDue: Long, now: Long): Int {
        val slots = servers.values.filter { it.isAvailable(now) }.sumOf { it.entry.slots }
        return limit.limitFor(PoolLoad(timeToDue, meanServiceTime, slots, arrivalRate.at(now)))
    }

    /** The best free server; none when waiting for another one would be better than a slow one. */
    fun choose(ticket: Ticket, now: Long): PoolServer? {
        val free = free(ticket, now)
        val best = free.minByOrNull { it.expectedTime(meanServiceTime, now) * (1 + FAULT_PENALTY * it.faultRate) }
            ?: return null
        val late = now + best.expectedTime(meanServiceTime, now) > ticket.dueAt
        val betterLater = now + meanServiceTime + waitTime(free.size, now) < ticket.dueAt
        return best.takeUnless { late && betterLater && servers.size > free.size }
    }

    /** Takes in that a warm server answered after [durationMilliseconds]. */
    fun track(durationMilliseconds: Long) {
        meanServiceTime += SAMPLE_WEIGHT * (durationMilliseconds - meanServiceTime)
    }

    private fun free(ticket: Ticket, now: Long): List<PoolServer> =
        servers.values.filter { it.entry.server !in ticket.avoid && it.hasCapacity(now, coldRate) }

    private companion object {
        /** Assumed service time before the first answer. */
        const val INITIAL_SERVICE_MILLISECONDS = 200.0

        /** Weight of one answer; about a dozen are remembered. */
        const val SAMPLE_WEIGHT = 0.08

        /** A server that fails one request in eight counts as twice as slow. */
        const val FAULT_PENALTY = 8.0
        const val NO_SERVER_WAIT_MILLISECONDS = 10_000.0
    }
}
