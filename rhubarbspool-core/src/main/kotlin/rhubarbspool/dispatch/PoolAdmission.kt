/*
 * Which requests of a pool are refused rather than left waiting. A request is refused as soon as it is clear that it
 * can't be served in time, so that its caller can go elsewhere or come back.
 */
package rhubarbspool.dispatch

/** Decides about requests that wait for [servers] in [queue]. All times are monotonic milliseconds. */
internal class PoolAdmission(private val servers: PoolServers, private val queue: TicketQueue) {
    /** Whether [ticket] is refused at [now] instead of being queued; it would have to wait. */
    fun shouldReject(ticket: Ticket, now: Long): Boolean = when (ticket.mode) {
        WaitMode.FREE_SLOT -> true
        WaitMode.IN_TIME -> {
            val queuedAhead = queue.countAhead(ticket, servers.meanServiceTime, now)
            now + servers.waitTime(queuedAhead, now) + servers.meanServiceTime > ticket.dueAt
        }
        WaitMode.UNTIL_DEADLINE -> now + servers.meanServiceTime > ticket.deadlineAt || exceedsLimits(ticket, now)
    }

    /** Waiting requests that are refused at [now]: they can't be answered by their deadline any more. */
    fun unservable(now: Long): List<Ticket> {
        val unservable = queue.tickets.filter { !canFinish(it, 0.0, now) || !servers.anyAvailable(now, it.avoid) }
        return unservable + (beyondLimits(now) - unservable.toSet())
    }

    /** The lowest ranked request when more are waiting than can be answered as late as [newest]; null otherwise. */
    fun excess(newest: Ticket, now: Long): Ticket? {
        val limit = servers.queueLimit(newest.dueAt - now, now)
        return if (queue.size <= limit) null else queue.ordered(servers.meanServiceTime, limit, now).last()
    }

    /** Waiting requests that the limits of the servers do not let through before their deadlines. */
    private fun beyondLimits(now: Long): List<Ticket> {
        if (queue.size == 0 || servers.limitedWait(0, now) == null) return emptyList()
        val limit = servers.queueLimit(queue.newest.dueAt - now, now)
        return queue.ordered(servers.meanServiceTime, limit, now)
            .filterIndexed { ahead, ticket -> !canFinish(ticket, servers.limitedWait(ahead, now) ?: 0.0, now) }
    }

    /** A request that ranks after all waiting ones is refused at once where displacing an older one gains nothing. */
    private fun exceedsLimits(ticket: Ticket, now: Long): Boolean {
        val ahead = queue.countAhead(ticket, servers.meanServiceTime, now)
        val wait = servers.limitedWait(ahead, now) ?: return false
        val isFull = ahead == queue.size && queue.size >= servers.queueLimit(ticket.dueAt - now, now)
        return isFull || !canFinish(ticket, wait, now)
    }

    private fun canFinish(ticket: Ticket, wait: Double, now: Long): Boolean =
        now + wait + servers.meanServiceTime * MINIMUM_SERVICE_TIME_SHARE <= ticket.deadlineAt

    private companion object {
        /** Share of the mean service time that fast requests take; one with less time left is refused. */
        const val MINIMUM_SERVICE_TIME_SHARE = 0.5
    }
}
