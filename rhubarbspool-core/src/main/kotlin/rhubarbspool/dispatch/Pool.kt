/*
 * One queue for a pool of servers. Requests that can still be answered within their target go first, by rank and due
 * time; late ones fill what is left. A request that would miss its deadline is refused at once.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/**
 * Decides which request is sent to which server, and when. Not thread-safe; all times are monotonic milliseconds.
 *
 * @param order how requests that can still be answered in time are ordered.
 * @param room how many may wait.
 */
class Pool internal constructor(order: QueueOrder, room: QueueRoom) {
    constructor() : this(QueueOrder.ADAPTIVE, QueueRoom.BY_LOAD)

    private class Out(val ticket: Ticket, val server: ServerName)

    private val servers = PoolServers(room)
    private val queue = TicketQueue(order)
    private val out = HashMap<Pair<String, Long>, Out>()

    /** Requests that wait. */
    val queued: Int get() = queue.size

    /** Permits that are out. */
    val running: Int get() = out.size

    /** Takes over [entries], the servers that take new work, at [now]; a cold one carries [coldRate] a second. */
    fun update(entries: Collection<BackendEntry>, coldRate: Double?, now: Long): List<PoolDecision> {
        servers.update(entries, coldRate, now)
        return dispatch(now)
    }

    /** Takes in [ticket] at [now]. */
    fun offer(ticket: Ticket, now: Long): List<PoolDecision> {
        servers.arrivals.arrived(now)
        return when {
            !servers.anyFit(ticket, now) ->
                listOf(PoolDecision.Refuse(ticket, PoolRefusal.NO_SERVER, NO_SERVER_RETRY_MILLISECONDS))
            (queue.size > 0 || !servers.hasFree(ticket, now)) && isHopeless(ticket, now) -> listOf(refuse(ticket, now))
            else -> {
                queue.add(ticket)
                dispatch(now) + makeRoom(ticket, now)
            }
        }
    }

    /** Takes in at [now] that the permit of [id] ended as [end] says. */
    fun finished(owner: String, id: Long, end: CallEnd, now: Long): List<PoolDecision> {
        val ended = out.remove(owner to id) ?: return emptyList()
        val server = servers[ended.server]
        server?.ended(end, now)
        if (end.outcome == CallOutcome.ANSWERED && server?.isCold(now) == false) servers.answered(end.took)
        return dispatch(now)
    }

    /** The caller of [id] left, or asked elsewhere, at [now]; all of [owner]'s requests without an [id]. */
    fun withdraw(owner: String, id: Long?, now: Long): List<PoolDecision> {
        val matches = { ticket: Ticket -> ticket.owner == owner && (id == null || ticket.id == id) }
        queue.remove(matches)
        takeBack(matches)
        return dispatch(now)
    }

    /** Refuses what can't be answered any more at [now], takes back forgotten permits, and sends what may be sent. */
    fun tick(now: Long): List<PoolDecision> {
        takeBack { now > it.deadlineAt + FORGOTTEN_MILLISECONDS }
        val shortest = servers.usual * SHORTEST_SHARE
        val hopeless = queue.tickets.filter { now + shortest > it.deadlineAt || !servers.anyFit(it, now) }
        queue.remove { it in hopeless }
        return hopeless.map { refuse(it, now) } + dispatch(now)
    }

    private fun takeBack(matches: (Ticket) -> Boolean) = out.values.filter { matches(it.ticket) }.forEach { taken ->
        out.remove(taken.ticket.owner to taken.ticket.id)
        servers[taken.server]?.cancelled()
    }

    private fun isHopeless(ticket: Ticket, now: Long): Boolean = when (ticket.mode) {
        WaitMode.FREE_SLOT -> true
        WaitMode.IN_TIME -> {
            val ahead = queue.ahead(ticket, servers.usual, now)
            now + servers.waitTime(ahead, now) + servers.usual > ticket.dueAt
        }
        WaitMode.UNTIL_DEADLINE -> now + servers.usual > ticket.deadlineAt
    }

    /** More requests than can be answered in time are not kept: the one with the worst prospects goes at once. */
    private fun makeRoom(newest: Ticket, now: Long): List<PoolDecision> {
        val room = servers.room(newest.dueAt - now, now)
        if (queue.size <= room) return emptyList()
        val worst = queue.ordered(servers.usual, room, now).last()
        queue.remove { it === worst }
        return listOf(refuse(worst, now))
    }

    private fun dispatch(now: Long): List<PoolDecision> {
        if (queue.size == 0) return emptyList()
        val room = servers.room(queue.newest.dueAt - now, now)
        return queue.ordered(servers.usual, room, now).mapNotNull { ticket ->
            servers.choose(ticket, now)?.let { server ->
                queue.remove { it === ticket }
                server.permitted(now)
                out[ticket.owner to ticket.id] = Out(ticket, server.entry.server)
                PoolDecision.Permit(ticket, server.entry.server)
            }
        }
    }

    private fun refuse(ticket: Ticket, now: Long): PoolDecision {
        val reason = if (servers.anyFit(now)) PoolRefusal.OVERLOADED else PoolRefusal.NO_SERVER
        val wait = servers.waitTime(queue.size + 1, now).toLong()
        return PoolDecision.Refuse(ticket, reason, maxOf(SHORTEST_RETRY_MILLISECONDS, wait))
    }

    private companion object {
        /** Share of the usual time that a lucky request takes; one with less time left is hopeless. */
        const val SHORTEST_SHARE = 0.5

        /** A pool without servers gets some when entries change, which takes a part of a second. */
        const val NO_SERVER_RETRY_MILLISECONDS = 300L
        const val SHORTEST_RETRY_MILLISECONDS = 50L

        /** A permit whose end was never reported is taken back this long after its deadline. */
        const val FORGOTTEN_MILLISECONDS = 500L
    }
}
