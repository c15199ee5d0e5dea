/*
 * All servers of a pool: chooses the best one for a request and estimates how long a request would wait.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/** Servers of one pool; [limit] decides how many requests may wait for them. Times are milliseconds. */
internal class PoolServers(private val limit: QueueLimit) {
    private val servers = LinkedHashMap<ServerName, PoolServer>()
    private var coldRate: Double? = null

    /** Whether another instance may send requests to the same servers within their limits. */
    var isStandIn: Boolean = false
        set(value) {
            field = value
            servers.values.forEach { it.limit.isStandIn = value }
        }

    /** Rate of submitted requests, including refused ones. */
    val arrivalRate = ArrivalRate()

    /** Moving average of the service time of warm servers. */
    var meanServiceTime: Double = INITIAL_SERVICE_MILLISECONDS
        private set

    /** Replaces the servers by [entries] at [now]. Estimates of an earlier incarnation of a server are dropped. */
    fun update(entries: Collection<BackendEntry>, coldRate: Double?, now: Long) {
        this.coldRate = coldRate
        servers.keys.retainAll(entries.mapTo(HashSet()) { it.server })
        entries.forEach { entry ->
            val known = servers[entry.server]
            if (known == null || known.entry.bornWall != entry.bornWall) {
                servers[entry.server] = PoolServer(entry, now).also { it.limit.isStandIn = isStandIn }
            } else {
                known.entry = entry
            }
        }
    }

    operator fun get(server: ServerName): PoolServer? = servers[server]

    /** Whether any server that is not in [avoid] is available, now or later. */
    fun anyAvailable(now: Long, avoid: Set<ServerName> = emptySet()): Boolean =
        servers.values.any { it.isAvailable(now) && it.entry.server !in avoid }

    /**
     * Milliseconds until the limits of the servers let a request with [ahead] others before it pass; null unless all
     * available servers have named a limit.
     */
    fun limitedWait(ahead: Int, now: Long): Double? {
        val available = servers.values.filter { it.isAvailable(now) }
        val isUnlimited = available.any { it.limit.requestsPerSecond == null }
        return if (isUnlimited) null else available.minOfOrNull { it.limit.waitTime(ahead / available.size, now) }
    }

    /** Whether a server has capacity for [ticket] now. */
    fun hasCapacity(ticket: Ticket, now: Long): Boolean = free(ticket, now).isNotEmpty()

    /** Expected time until a request with [queuedAhead] others before it gets a slot. */
    fun waitTime(queuedAhead: Int, now: Long): Double {
        val fit = servers.values.filter { it.isAvailable(now) }
        val free = fit.count { it.hasCapacity(now, coldRate) }
        val rate = fit.sumOf { server ->
            val serviceTime = server.expectedTime(meanServiceTime, now)
            server.usableSlots(serviceTime) / serviceTime
        }
        return when {
            queuedAhead < free -> 0.0
            rate <= 0 -> NO_SERVER_WAIT_MILLISECONDS
            else -> (queuedAhead - free + 1) / rate
        }
    }

    /** How many requests may wait at [now] when the newest is due in [timeToDue]. */
    fun queueLimit(timeToDue: Long, now: Long): Int {
        val slots = servers.values.filter { it.isAvailable(now) }.sumOf { it.usableSlots(meanServiceTime) }
        return limit.limitFor(PoolLoad(timeToDue, meanServiceTime, slots, arrivalRate.at(now)))
    }

    /**
     * The server with capacity that is expected to be fastest, where faults count as slowness. Null if there is none,
     * or if it would respond late and waiting for another server would still be in time.
     */
    fun choose(ticket: Ticket, now: Long): PoolServer? {
        val free = free(ticket, now)
        val best = free.minByOrNull { it.expectedTime(meanServiceTime, now) * (1 + FAULT_PENALTY * it.faultRate) }
            ?: return null
        val late = now + best.expectedTime(meanServiceTime, now) > ticket.dueAt
        val betterLater = now + meanServiceTime + waitTime(free.size, now) < ticket.dueAt
        return best.takeUnless { late && betterLater && servers.size > free.size }
    }

    /** Adds the response time of a warm server to [meanServiceTime]. */
    fun track(durationMilliseconds: Long) {
        meanServiceTime += SAMPLE_WEIGHT * (durationMilliseconds - meanServiceTime)
    }

    private fun free(ticket: Ticket, now: Long): List<PoolServer> =
        servers.values.filter { it.entry.server !in ticket.avoid && it.hasCapacity(now, coldRate) }

    private companion object {
        /** Assumed service time before the first response. */
        const val INITIAL_SERVICE_MILLISECONDS = 200.0

        /** Weight of one response in the moving average, which covers about a dozen responses. */
        const val SAMPLE_WEIGHT = 0.08

        /** A server that fails one request in eight counts as twice as slow. */
        const val FAULT_PENALTY = 8.0
        const val NO_SERVER_WAIT_MILLISECONDS = 10_000.0
    }
}
