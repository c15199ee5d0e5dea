/*
 * The pools for which this instance dispatches, on behalf of itself and of other instances. The state of a pool is not
 * persisted: an instance that takes over starts from the servers' entries.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.CallResult
import rhubarbspool.dispatch.Pool
import rhubarbspool.dispatch.PoolDecision
import rhubarbspool.dispatch.Ticket
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry

/** Receives the decisions of the pools for one owner of requests. */
internal fun interface DecisionListener {
    fun onDecision(decision: DecisionMessage)
}

/** The pools of this instance. A listener may submit to another pool, a new one too, while it gets a decision. */
internal class PoolService(private val context: ProcessContext) {
    private val state = context.state
    private class TrackedPool(val pool: Pool, var lastUsedAt: Long)

    private val pools = HashMap<PoolName, TrackedPool>()
    private val listeners = HashMap<String, DecisionListener>()
    private var lastChanges = -1L

    /** Number of pools. */
    val count: Int get() = pools.size

    /** Whether requests wait in any pool. */
    val hasWaiting: Boolean get() = pools.values.any { it.pool.queued > 0 }

    /** Registers [listener] for decisions about requests of [owner]. */
    fun attach(owner: String, listener: DecisionListener) {
        listeners[owner] = listener
    }

    /** [owner] was lost at [now]; withdraws all its requests. */
    fun detach(owner: String, now: Long) {
        listeners.remove(owner)
        pools.values.toList().forEach { deliver(it.pool.withdraw(owner, null, now)) }
    }

    /**
     * Submits a request of [owner] to its pool at [now]. If the request has to wait, [owner] gets a decision with
     * neither a server nor a refusal.
     */
    fun submit(owner: String, message: SlotRequestMessage, now: Long) {
        val tracked = pools.getOrPut(message.pool) {
            val pool = Pool().also { it.isStandIn = context.isStandInFor(message.pool) }
            TrackedPool(pool, now).also { update(message.pool, pool, now) }
        }
        val isNews = message.leaving.count { context.state.recordLeaving(it.toServer(now), "instance") } > 0
        if (isNews) update(message.pool, tracked.pool, now)
        message.limits.forEach {
            tracked.pool.recordLimit(ServerName(it.server), it.requestsPerSecond, now - it.namedAgo, now)
        }
        tracked.lastUsedAt = now
        val ticket = Ticket(
            owner,
            message.id,
            message.priority,
            now + message.dueIn,
            now + message.deadlineIn,
            message.mode,
            message.avoid.mapTo(HashSet()) { ServerName(it) },
        )
        val decisions = tracked.pool.submit(ticket, now)
        deliver(decisions)
        val isDecided = decisions.any { it.ticket.owner == owner && it.ticket.id == message.id }
        if (!isDecided) listeners[owner]?.onDecision(DecisionMessage(message.id))
    }

    /** Records the end of a permitted call of [owner] at [now]. */
    fun complete(owner: String, message: DoneMessage, now: Long) {
        val pool = pools[message.pool]?.pool ?: return
        deliver(
            pool.complete(
                owner,
                message.id,
                CallResult(message.outcome, message.durationMilliseconds, message.load, message.limit),
                now,
            )
        )
    }

    /** [owner] withdraws a request at [now]. */
    fun withdraw(owner: String, message: WithdrawMessage, now: Long) {
        val pool = pools[message.pool]?.pool ?: return
        deliver(pool.withdraw(owner, message.id, now))
    }

    /** Drops unused pools, applies changed server entries and makes the decisions that are due at [now]. */
    fun tick(now: Long) {
        val changes = state.changes + state.directory.changes
        val hasChanged = changes != lastChanges
        lastChanges = changes
        pools.entries.removeAll { (_, tracked) ->
            now - tracked.lastUsedAt > UNUSED_MILLISECONDS && tracked.pool.inFlight == 0
        }
        pools.toList().forEach { (name, tracked) ->
            tracked.pool.isStandIn = context.isStandInFor(name)
            if (hasChanged || mayLoseServers(name)) update(name, tracked.pool, now)
            if (tracked.pool.queued > 0 || tracked.pool.inFlight > 0) deliver(tracked.pool.tick(now))
        }
    }

    /** Whether servers may leave the pool without a change of the entries, as time passes. */
    private fun mayLoseServers(name: PoolName): Boolean =
        if (name.server.isEmpty()) {
            state.directory.missing.isNotEmpty()
        } else {
            state.directory.isLeaving(ServerName(name.server))
        }

    private fun update(name: PoolName, pool: Pool, now: Long) {
        val service = ServiceName(name.service)
        val coldRate = state.configuration?.services?.get(service)?.coldRequestsPerSecond
        deliver(pool.update(entries(name, service, now), coldRate, now))
    }

    private fun entries(name: PoolName, service: ServiceName, now: Long): List<BackendEntry> {
        val directory = state.directory
        if (name.server.isEmpty()) {
            return directory.usable(service, now).filter { it.domain == FailureDomainName(name.domain) }
        }
        val entry = directory[ServerName(name.server)]?.takeIf { it.service == service }
        return listOfNotNull(entry?.takeIf { directory.mayStillServe(it.server, now) })
    }

    private fun deliver(decisions: List<PoolDecision>) = decisions.forEach { decision ->
        val message = when (decision) {
            is PoolDecision.Permit -> DecisionMessage(decision.ticket.id, server = decision.server.text)
            is PoolDecision.Refuse ->
                DecisionMessage(
                    decision.ticket.id,
                    refusal = decision.reason,
                    retryAfter = decision.retryAfterMilliseconds
                )
        }
        listeners[decision.ticket.owner]?.onDecision(message)
    }

    private companion object {
        /** Time without a request after which a pool with no calls in flight is dropped. */
        const val UNUSED_MILLISECONDS = 15_000L
    }
}
