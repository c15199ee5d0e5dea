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

    private class IssuedPermit(val ticket: Ticket, val server: ServerName, val issuedAt: Long)

    private val servers = PoolServers(limit)
    private val queue = TicketQueue(order)
    private val admission = PoolAdmission(servers, queue)
    private val permits = HashMap<Pair<String, Long>, IssuedPermit>()

    /** Number of waiting requests. */
    val queued: Int get() = queue.size

    /** Whether another instance may dispatch for the same servers, and this one only stands in for it. */
    var isStandIn: Boolean by servers::isStandIn

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

    /** Another instance was told [limit] by [server] in a response at [namedAt]; it applies from [now] on. */
    fun recordLimit(server: ServerName, limit: Double, namedAt: Long, now: Long) {
        servers[server]?.limit?.onNamed(limit, namedAt, now)
    }

    /** Dispatches, enqueues or refuses [ticket] at [now]; returns the decisions, also about other tickets. */
    fun submit(ticket: Ticket, now: Long): List<PoolDecision> {
        servers.arrivalRate.record(now)
        return when {
            !servers.anyAvailable(now, ticket.avoid) ->
                listOf(PoolDecision.Refuse(ticket, PoolRefusal.NO_SERVER, NO_SERVER_RETRY_AFTER_MILLISECONDS))
            (queue.size > 0 || !servers.hasCapacity(ticket, now)) && admission.shouldReject(ticket, now) ->
                listOf(refuse(ticket, now))
            else -> {
                queue.add(ticket)
                dispatch(now) + refuseAll(listOfNotNull(admission.excess(ticket, now)), now)
            }
        }
    }

    /** Releases the permit for [owner]'s request [id], whose call ended at [now], and dispatches the next request. */
    fun complete(owner: String, id: Long, end: CallResult, now: Long): List<PoolDecision> {
        val permit = permits.remove(owner to id) ?: return emptyList()
        val server = servers[permit.server]
        server?.onResult(end, permit.issuedAt, now)
        if (end.outcome == CallOutcome.ANSWERED && server?.isCold(now) == false) servers.track(end.durationMilliseconds)
        val refusals = if (end.limit == null) emptyList() else refuseAll(admission.unservable(now), now)
        return refusals + dispatch(now)
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
        return refuseAll(admission.unservable(now), now) + dispatch(now)
    }

    private fun reclaim(matches: (Ticket) -> Boolean) = permits.values.filter { matches(it.ticket) }.forEach { permit ->
        permits.remove(permit.ticket.owner to permit.ticket.id)
        servers[permit.server]?.onCancelled()
    }

    private fun dispatch(now: Long): List<PoolDecision> {
        if (queue.size == 0) return emptyList()
        val limit = servers.queueLimit(queue.newest.dueAt - now, now)
        return queue.ordered(servers.meanServiceTime, limit, now).mapNotNull { ticket ->
            servers.choose(ticket, now)?.let { server ->
                queue.remove { it === ticket }
                server.onPermit(now)
                permits[ticket.owner to ticket.id] = IssuedPermit(ticket, server.entry.server, now)
                PoolDecision.Permit(ticket, server.entry.server)
            }
        }
    }

    private fun refuseAll(tickets: List<Ticket>, now: Long): List<PoolDecision> {
        if (tickets.isEmpty()) return emptyList()
        queue.remove { it in tickets }
        return tickets.map { refuse(it, now) }
    }

    private fun refuse(ticket: Ticket, now: Long): PoolDecision {
        val reason = if (servers.anyAvailable(now)) PoolRefusal.OVERLOADED else PoolRefusal.NO_SERVER
        val wait = servers.waitTime(queue.size + 1, now).toLong()
        return PoolDecision.Refuse(ticket, reason, maxOf(MINIMUM_RETRY_AFTER_MILLISECONDS, wait))
    }

    private companion object {
        /** A pool without servers gets some when entries change, which takes a fraction of a second. */
        const val NO_SERVER_RETRY_AFTER_MILLISECONDS = 300L
        const val MINIMUM_RETRY_AFTER_MILLISECONDS = 50L

        /** Time after a request's deadline at which its permit is reclaimed if its end was not reported. */
        const val LOST_PERMIT_MILLISECONDS = 500L
    }
}
