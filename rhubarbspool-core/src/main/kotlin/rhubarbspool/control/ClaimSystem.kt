/*
 * Claims gates that have no holder. Gates of a failure domain without an active instance go to instances of others; as
 * the rows prove that a gate is free, no takeover wait is needed. Candidates claim a free gate in ranked, staggered
 * order, so that two rarely write at once and an unresponsive one doesn't block the others.
 */
package rhubarbspool.control

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.table.Condition
import rhubarbspool.table.GateBody
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys

/** Claims gates without a holder. */
internal class ClaimSystem : ControlSystem {
    private class FreeGate(val entry: GateEntry, val server: BackendServer, val configuration: ServiceConfiguration)

    private val freeSince = HashMap<ServerName, Long>()

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        val self = state.self?.takeIf { canClaim(state, it, now) } ?: return emptyList()
        val free = freeGates(state)
        freeSince.keys.retainAll(free.map { it.server.name }.toSet())
        val due = free.filter { isMyTurn(state, it, self, now) }
        return if (due.isEmpty()) emptyList() else claim(state, self, due, now)
    }

    private fun canClaim(state: ControlState, self: MemberEntry, now: Now): Boolean {
        val joined = state.phase == Phase.JOINED && self.member.generation == state.generation
        return joined && !state.isDraining(self) && !state.isRouterLost(now) && !state.routerLeaving
    }

    private fun freeGates(state: ControlState): List<FreeGate> =
        state.configurations.values.map { it.configuration }.flatMap { configuration ->
            configuration.servers.mapNotNull { server ->
                val entry = state.rows.gates[server.name]
                    ?: GateEntry(0, GateBody(server.name, configuration.service, null))
                if (isFree(state, entry.gate)) FreeGate(entry, server, configuration) else null
            }
        }

    private fun isFree(state: ControlState, gate: GateBody): Boolean {
        val holder = gate.holder?.let { state.rows.members[it]?.member }
        val replaced = holder != null && holder.generation > gate.generation
        val gone = holder != null && holder.generation == gate.generation && holder.state == MemberState.GONE
        return gate.holder == null || replaced || gone
    }

    private fun isMyTurn(state: ControlState, free: FreeGate, self: MemberEntry, now: Now): Boolean {
        val since = freeSince.getOrPut(free.server.name) { now.monotonic }
        val sameDomain = GateRanking.candidates(state).filter { it.member.domain == free.server.domain }
        val ranked = GateRanking.ranked(state, free.server, sameDomain.ifEmpty { GateRanking.candidates(state) })
        val rank = ranked.indexOfFirst { it.member.instance == self.member.instance }
        return rank >= 0 && now.monotonic - since >= rank * CLAIM_STAGGER_MILLISECONDS
    }

    private fun claim(state: ControlState, self: MemberEntry, due: List<FreeGate>, now: Now): List<ControlEffect> {
        val selfUnchanged = Condition(RowKeys.member(self.member.instance), self.version)
        val conditions = due.map { GateRanking.unchangedCondition(it.entry) } + selfUnchanged
        val writes = due.map { GateRanking.claimWrite(state, it.entry, suspectUntil(state, it, now)) }
        val names = due.joinToString { it.server.name.text }
        val audit = state.audit(AuditedChange("claim", names, "free", self.member.instance.text, "no holder"), now)
        return state.submit(Change("claim", conditions, writes, audit), now)
    }

    /** A holder that was replaced without a takeover may have run once-only requests without a record. */
    private fun suspectUntil(state: ControlState, free: FreeGate, now: Now): Long {
        val gate = free.entry.gate
        val holder = gate.holder?.let { state.rows.members[it]?.member }
        val replaced = holder != null && holder.generation > gate.generation
        return if (replaced) now.wall + free.configuration.repeatWindowMilliseconds else 0
    }

    private companion object {
        const val CLAIM_STAGGER_MILLISECONDS = 300L
    }
}
