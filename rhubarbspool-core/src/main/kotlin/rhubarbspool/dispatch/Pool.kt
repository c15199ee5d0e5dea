/*
 * Queue of requests for a pool of servers. Requests that can still be answered within their target are dispatched
 * first, by priority and due time; late ones use the remaining capacity. A request that would miss its deadline is
 * refused at once.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/**
 * Decides which request is sent to which server, and when. Not thread-safe; all times are monotonic milliseconds.
 *
 * @param order how requests that can still be answered in time are ordered.
 * @param limit how many requests may wait.
 */
class Pool internal constructor(order: QueueOrder, limit: QueueLimit) {
    constructor() : this(QueueOrder.ADAPTIVE, QueueLimit.BY_LOAD)

    private class IssuedPermit(val ticket: Ticket, val server: ServerName)

    private val servers = PoolServers(limit)
    private val queue = TicketQueue(order)
    private val permits = HashMap<Pair<String, Long>, IssuedPermit>()

    /** Number of waiting requests. */
    val queued: Int get() = queue.size

    /** Number of permits that were issued and have not ended. */
    val inFlight: Int get() = permits.size

    /**
     * Replaces the servers that accept new requests by [entries] at [now]. A cold server gets at most [coldRate]
     * requests per second; null means no limit.
     */
    fun update(entries: Collection<BackendEntry>, coldRate: Double?, now: Long): List<PoolDecision> {
        servers.update(entries, coldRate, now)
        return dispatch(now)
    }

    /** Dispatches, enqueues or refuses [ticket] at [now]; returns the decisions, also about other tickets. */
    fun submit(ticket: Ticket, now: Long): List<PoolDecision> {
        servers.arrivalRate.record(now)
        return when {
            !servers.anyAvailable(ticket, now) ->
                listOf(PoolDecision.Refuse(ticket, PoolRefusal.NO_SERVER, NO_SERVER_RETRY_AFTER_MILLISECONDS))
            (queue.size > 0 || !servers.hasCapacity(ticket, now)) && shouldReject(ticket, now) ->
                listOf(refuse(ticket, now))
            else -> {
                queue.add(ticket)
                dispatch(now) + shedExcess(ticket, now)
            }
        }
    }

    /** Releases the permit for [owner]'s request [id], whose call ended at [now], and dispatches the next request. */
    fun complete(owner: String, id: Long, end: CallResult, now: Long): List<PoolDecision> {
        val permit = permits.remove(owner to id) ?: return emptyList()
        val server = servers[permit.server]
        server?.onResult(end, now)
        if (end.outcome == CallOutcome.ANSWERED && server?.isCold(now) == false) servers.track(end.durationMilliseconds)
        return dispatch(now)
    }

    /**
     * Cancels [owner]'s request [id] at [now], because its caller disconnected or it was submitted elsewhere. Without
     * an [id], cancels all requests of [owner].
     */
    fun withdraw(owner: String, id: Long?, now: Long): List<PoolDecision> {
        val matches = { ticket: Ticket -> ticket.owner == owner && (id == null || ticket.id == id) }
        queue.remove(matches)
        reclaim(matches)
        return dispatch(now)
    }

    /** Refuses requests that can no longer be answered at [now], reclaims lost permits and dispatches others. */
    fun tick(now: Long): List<PoolDecision> {
        reclaim { now > it.deadlineAt + LOST_PERMIT_MILLISECONDS }
        val minimumServiceTime = servers.meanServiceTime * MINIMUM_SERVICE_TIME_SHARE
        val unservable =
            queue.tickets.filter { now + minimumServiceTime > it.deadlineAt || !servers.anyAvailable(it, now) }
        queue.remove { it in unservable }
        return unservable.map { refuse(it, now) } + dispatch(now)
    }

    private fun reclaim(matches: (Ticket) -> Boolean) = permits.values.filter { matches(it.ticket) }.forEach { permit ->
        permits.remove(permit.ticket.owner to permit.ticket.id)
        servers[permit.server]?.onCancelled()
    }

    private fun shouldReject(ticket: Ticket, now: Long): Boolean = when (ticket.mode) {
        WaitMode.FREE_SLOT -> true
        WaitMode.IN_TIME -> {
            val queuedAhead = queue.countAhead(ticket, servers.meanServiceTime, now)
            now + servers.waitTime(queuedAhead, now) + servers.meanServiceTime > ticket.dueAt
        }
        WaitMode.UNTIL_DEADLINE -> now + servers.meanServiceTime > ticket.deadlineAt
    }

    /** Refuses the lowest ranked request when more are waiting than can be answered in time. */
    private fun shedExcess(newest: Ticket, now: Long): List<PoolDecision> {
        val limit = servers.queueLimit(newest.dueAt - now, now)
        if (queue.size <= limit) return emptyList()
        val lowestRanked = queue.ordered(servers.meanServiceTime, limit, now).last()
        queue.remove { it === lowestRanked }
        return listOf(refuse(lowestRanked, now))
    }

    private fun dispatch(now: Long): List<PoolDecision> {
        if (queue.size == 0) return emptyList()
        val limit = servers.queueLimit(queue.newest.dueAt - now, now)
        return queue.ordered(servers.meanServiceTime, limit, now).mapNotNull { ticket ->
            servers.choose(ticket, now)?.let { server ->
                queue.remove { it === ticket }
                server.onPermit(now)
                permits[ticket.owner to ticket.id] = IssuedPermit(ticket, server.entry.server)
                PoolDecision.Permit(ticket, server.entry.server)
            }
        }
    }

    private fun refuse(ticket: Ticket, now: Long): PoolDecision {
        val reason = if (servers.anyAvailable(now)) PoolRefusal.OVERLOADED else PoolRefusal.NO_SERVER
        val wait = servers.waitTime(queue.size + 1, now).toLong()
        return PoolDecision.Refuse(ticket, reason, maxOf(MINIMUM_RETRY_AFTER_MILLISECONDS, wait))
    }

    private companion object {
        /** Share of the mean service time that fast requests take; one with less time left is refused. */
        const val MINIMUM_SERVICE_TIME_SHARE = 0.5

        /** A pool without servers gets some when entries change, which takes a fraction of a second. */
        const val NO_SERVER_RETRY_AFTER_MILLISECONDS = 300L
        const val MINIMUM_RETRY_AFTER_MILLISECONDS = 50L

        /** Time after a request's deadline at which its permit is reclaimed if its end was not reported. */
        const val LOST_PERMIT_MILLISECONDS = 500L
    }
}
