/*
 * The pools that this instance dispatches for, for itself and for others. What a pool believes is not kept: another
 * instance that takes over starts from the servers' entries.
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

/** Hears decisions of the pools for one asker. */
internal fun interface DecisionSink {
    fun decided(decision: DecisionMessage)
}

/** All pools of this instance. */
internal class PoolService(private val state: EntryState) {
    private class Held(val pool: Pool, var usedAt: Long)

    private val pools = HashMap<PoolName, Held>()
    private val sinks = HashMap<String, DecisionSink>()
    private var seenChanges = -1L

    /** Pools that are in use. */
    val count: Int get() = pools.size

    /** Registers where decisions for [owner] go. */
    fun attach(owner: String, sink: DecisionSink) {
        sinks[owner] = sink
    }

    /** [owner] was lost at [now]. */
    fun detach(owner: String, now: Long) {
        sinks.remove(owner)
        pools.values.forEach { deliver(it.pool.withdraw(owner, null, now)) }
    }

    /** Takes in a question of [owner] at [now]. */
    fun ask(owner: String, ask: SlotRequestMessage, now: Long) {
        val held = pools.getOrPut(ask.pool) { Held(Pool(), now).also { update(ask.pool, it.pool, now) } }
        held.usedAt = now
        val ticket = Ticket(
            owner,
            ask.id,
            ask.priority,
            now + ask.dueIn,
            now + ask.deadlineIn,
            ask.mode,
            ask.avoid.mapTo(HashSet()) { ServerName(it) },
        )
        val decisions = held.pool.submit(ticket, now)
        deliver(decisions)
        val decided = decisions.any { it.ticket.owner == owner && it.ticket.id == ask.id }
        if (!decided) sinks[owner]?.decided(DecisionMessage(ask.id))
    }

    /** Takes in the end of a permit of [owner] at [now]. */
    fun done(owner: String, done: DoneMessage, now: Long) {
        val pool = pools[done.pool]?.pool ?: return
        deliver(pool.complete(owner, done.id, CallResult(done.outcome, done.durationMilliseconds, done.load), now))
    }

    /** [owner] does not want [withdraw] any more at [now]. */
    fun withdraw(owner: String, withdraw: WithdrawMessage, now: Long) {
        val pool = pools[withdraw.pool]?.pool ?: return
        deliver(pool.withdraw(owner, withdraw.id, now))
    }

    /** Brings all pools up to date at [now]. */
    fun tick(now: Long) {
        val changed = state.changes + state.directory.changes
        val stale = changed != seenChanges
        seenChanges = changed
        pools.entries.removeAll { (_, held) -> now - held.usedAt > UNUSED_MILLISECONDS && held.pool.inFlight == 0 }
        pools.forEach { (name, held) ->
            if (stale || hasLeaving(name)) update(name, held.pool, now)
            if (held.pool.queued > 0 || held.pool.inFlight > 0) deliver(held.pool.tick(now))
        }
    }

    /** Whether time alone may take servers out of a pool. */
    private fun hasLeaving(name: PoolName): Boolean =
        if (name.server.isEmpty()) state.directory.hasMissing else state.directory.isLeaving(ServerName(name.server))

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
        sinks[decision.ticket.owner]?.decided(message)
    }

    private companion object {
        /** A pool that nobody asked for so long is forgotten. */
        const val UNUSED_MILLISECONDS = 15_000L
    }
}
