/*
 * One queue for a pool of servers. Requests that can still be answered within their target go first, by rank and due
 * time; late ones fill what is left. A request that would miss its deadline is refused at once.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/** How requests that can still be answered in time are ordered. */
enum class QueueOrder {
    /** In the order of their due times, whatever waits. */
    DUE_TIME,

    /** In the order of their due times, and youngest first while too many wait. */
    ADAPTIVE,
}

/**
 * Decides which request is sent to which server, and when. Not thread-safe.
 *
 * @param order how requests that can still be answered in time are ordered.
 */
class Pool(private val order: QueueOrder = QueueOrder.ADAPTIVE) {
    private var coldRate: Double? = null

    private class Waiting(val ticket: Ticket, val sequence: Long)

    private class Out(val ticket: Ticket, val server: ServerName, val since: Long)

    private val servers = LinkedHashMap<ServerName, PoolServer>()
    private val waiting = ArrayList<Waiting>()
    private val out = HashMap<Pair<String, Long>, Out>()
    private var usual = FIRST_SERVICE_MILLISECONDS
    private var sequence = 0L

    /** Requests that wait. */
    val queued: Int get() = waiting.size

    /** Permits that are out. */
    val running: Int get() = out.size

    /** Takes over [entries], the servers that take new work, at [now]; a cold one carries [coldRate] a second. */
    fun update(entries: Collection<BackendEntry>, coldRate: Double?, now: Long): List<PoolDecision> {
        this.coldRate = coldRate
        val names = entries.mapTo(HashSet()) { it.server }
        servers.keys.retainAll(names)
        entries.forEach { entry ->
            val known = servers[entry.server]
            if (known == null || known.entry.bornWall != entry.bornWall) {
                servers[entry.server] = PoolServer(entry, now)
            } else {
                known.entry = entry
            }
        }
        return dispatch(now)
    }

    /** Takes in [ticket] at [now]. */
    fun offer(ticket: Ticket, now: Long): List<PoolDecision> {
        val usable = servers.values.filter { it.isFit(now) && it.entry.server !in ticket.avoid }
        if (usable.isEmpty()) return listOf(PoolDecision.Refuse(ticket, PoolRefusal.NO_SERVER, RETRY_MILLISECONDS))
        if (!hasFree(ticket, now) && isHopeless(ticket, now)) return listOf(refuse(ticket, now))
        waiting += Waiting(ticket, ++sequence)
        return dispatch(now) + makeRoom(ticket, now)
    }

    private fun isHopeless(ticket: Ticket, now: Long): Boolean = when (ticket.mode) {
        WaitMode.FREE_SLOT -> true
        WaitMode.IN_TIME -> now + waitTime(ahead(ticket, now), now) + usual > ticket.dueAt
        WaitMode.UNTIL_DEADLINE -> now + usual > ticket.deadlineAt
    }

    /** More requests than can be answered in time are not kept: the one with the worst prospects goes at once. */
    private fun makeRoom(newest: Ticket, now: Long): List<PoolDecision> {
        if (waiting.size <= room(newest, now)) return emptyList()
        val worst = ordered(now).last()
        waiting.remove(worst)
        return listOf(refuse(worst.ticket, now))
    }

    /** How many requests may wait so that the last of them is still answered within a target like [newest]'s. */
    private fun room(newest: Ticket, now: Long): Int {
        val slots = servers.values.filter { it.isFit(now) }.sumOf { it.entry.slots }
        val span = newest.dueAt - now - usual
        return maxOf(SHORTEST_QUEUE, (span * slots / usual).toInt())
    }

    /** Takes in at [now] that the permit of [id] ended with [outcome] after [took] milliseconds. */
    fun finished(
        owner: String,
        id: Long,
        outcome: CallOutcome,
        took: Long,
        load: LoadReport?,
        now: Long,
    ): List<PoolDecision> {
        val ended = out.remove(owner to id) ?: return emptyList()
        val server = servers[ended.server]
        server?.ended(outcome, took, load, now)
        if (outcome == CallOutcome.ANSWERED && server?.isCold(now) == false) usual += USUAL_WEIGHT * (took - usual)
        return dispatch(now)
    }

    /** The caller of [id] left, or asked elsewhere, at [now]. */
    fun withdraw(owner: String, id: Long, now: Long): List<PoolDecision> {
        val waited = waiting.removeAll { it.ticket.owner == owner && it.ticket.id == id }
        if (waited) return emptyList()
        val ended = out.remove(owner to id) ?: return emptyList()
        servers[ended.server]?.cancelled()
        return dispatch(now)
    }

    /** The instance [owner] was lost at [now]. */
    fun ownerLost(owner: String, now: Long): List<PoolDecision> {
        waiting.removeAll { it.ticket.owner == owner }
        out.values.filter { it.ticket.owner == owner }.forEach { lost ->
            out.remove(lost.ticket.owner to lost.ticket.id)
            servers[lost.server]?.cancelled()
        }
        return dispatch(now)
    }

    /** Refuses what can't be answered any more at [now], takes back forgotten permits, and sends what may be sent. */
    fun tick(now: Long): List<PoolDecision> {
        out.values.filter { now > it.ticket.deadlineAt + FORGOTTEN_MILLISECONDS }.forEach { forgotten ->
            out.remove(forgotten.ticket.owner to forgotten.ticket.id)
            servers[forgotten.server]?.cancelled()
        }
        val hopeless = waiting.filter { now + usual * SHORTEST_SHARE > it.ticket.deadlineAt || !anyFit(it.ticket, now) }
        waiting.removeAll(hopeless.toSet())
        return hopeless.map { refuse(it.ticket, now) } + dispatch(now)
    }

    private fun anyFit(ticket: Ticket, now: Long) = servers.values.any { it.isFit(now) && it.entry.server !in ticket.avoid }

    private fun refuse(ticket: Ticket, now: Long) = PoolDecision.Refuse(
        ticket,
        if (servers.values.none { it.isFit(now) }) PoolRefusal.NO_SERVER else PoolRefusal.OVERLOADED,
        maxOf(SHORTEST_RETRY_MILLISECONDS, waitTime(waiting.size + 1, now).toLong()),
    )

    /** Requests that would be served before [ticket]. */
    private fun ahead(ticket: Ticket, now: Long): Int {
        val rank = rankOf(ticket, now)
        return waiting.count { compareRanks(rankOf(it.ticket, now), rank) <= 0 }
    }

    /** Expected time until one more request after [ahead] others gets a slot. */
    private fun waitTime(ahead: Int, now: Long): Double {
        val fit = servers.values.filter { it.isFit(now) }
        val free = fit.count { it.isFree(now, coldRate) }
        if (ahead < free) return 0.0
        val rate = fit.sumOf { it.entry.slots / it.expected(usual, now) }
        return if (rate <= 0) LONG_WAIT_MILLISECONDS else (ahead - free + 1) / rate
    }

    private fun hasFree(ticket: Ticket, now: Long): Boolean =
        servers.values.any { it.entry.server !in ticket.avoid && it.isFree(now, coldRate) } && waiting.isEmpty()

    private fun dispatch(now: Long): List<PoolDecision> {
        if (waiting.isEmpty()) return emptyList()
        val decisions = ArrayList<PoolDecision>()
        ordered(now).forEach { next ->
            val server = choose(next.ticket, now)
            if (server != null) {
                waiting.remove(next)
                server.permitted(now)
                out[next.ticket.owner to next.ticket.id] = Out(next.ticket, server.entry.server, now)
                decisions += PoolDecision.Permit(next.ticket, server.entry.server)
            }
        }
        return decisions
    }

    /**
     * Requests in the order in which they are to be sent. Where more wait than can be answered in time, the youngest
     * goes first: the order of arrival would make every one of them late.
     */
    private fun ordered(now: Long): List<Waiting> {
        val newest = waiting.maxBy { it.sequence }.ticket
        val crowded = order == QueueOrder.ADAPTIVE && waiting.size > room(newest, now) * CROWDED_SHARE
        val direction = if (crowded) -1 else 1
        return waiting.sortedWith { a, b ->
            val (first, second) = rankOf(a.ticket, now) to rankOf(b.ticket, now)
            val byRank = compareValuesBy(first, second, { it.late }, { it.priority })
            val byDue = direction * first.dueAt.compareTo(second.dueAt)
            if (byRank != 0) byRank else if (byDue != 0) byDue else direction * a.sequence.compareTo(b.sequence)
        }
    }

    /** The best free server; a slow one only where waiting for another would not be better. */
    private fun choose(ticket: Ticket, now: Long): PoolServer? {
        val free = servers.values.filter { it.entry.server !in ticket.avoid && it.isFree(now, coldRate) }
        val best = free.minByOrNull { it.expected(usual, now) * (1 + FAULT_PENALTY * it.faults) } ?: return null
        val late = now + best.expected(usual, now) > ticket.dueAt
        val worthWaiting = late && now + usual + waitTime(1, now) < ticket.dueAt && servers.size > free.size
        return if (worthWaiting) null else best
    }

    private data class Rank(val late: Boolean, val priority: Int, val dueAt: Long)

    private fun rankOf(ticket: Ticket, now: Long) =
        Rank(now + usual * LIKELY_SHARE > ticket.dueAt, ticket.priority, ticket.dueAt)

    private fun compareRanks(a: Rank, b: Rank): Int = compareValuesBy(a, b, { it.late }, { it.priority }, { it.dueAt })

    private companion object {
        /** Assumed service time before the first answer, in milliseconds. */
        const val FIRST_SERVICE_MILLISECONDS = 200.0
        const val USUAL_WEIGHT = 0.08

        /** Share of the usual time that a lucky request takes; less than that left is hopeless. */
        const val SHORTEST_SHARE = 0.5

        /** Share of the usual time within which most requests are answered; with less left one is taken to be late. */
        const val LIKELY_SHARE = 0.9

        /** A queue that is fuller than this share of its room is served from its young end. */
        const val CROWDED_SHARE = 0.5
        const val SHORTEST_QUEUE = 2
        const val FAULT_PENALTY = 8.0
        const val RETRY_MILLISECONDS = 300L
        const val SHORTEST_RETRY_MILLISECONDS = 50L
        const val LONG_WAIT_MILLISECONDS = 10_000.0

        /** A permit whose end was never reported is taken back this long after its deadline. */
        const val FORGOTTEN_MILLISECONDS = 500L
    }
}
