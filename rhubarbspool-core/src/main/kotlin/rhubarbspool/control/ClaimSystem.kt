/*
 * Claims gates that nobody holds. A failure domain without an instance that takes part leaves its gates to others:
 * that a gate is free is always certain, so this is no takeover. The candidates of a free gate come in turn, so
 * that two rarely write at once and none blocks the others.
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

/** Claims free gates. */
internal class ClaimSystem : ControlSystem {
    private class FreeGate(val entry: GateEntry, val server: BackendServer, val configuration: ServiceConfiguration)

    private val freeSince = HashMap<ServerName, Long>()

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        val me = state.self?.takeIf { isFit(state, it, now) } ?: return emptyList()
        val free = freeGates(state)
        freeSince.keys.retainAll(free.map { it.server.name }.toSet())
        val due = free.filter { isMyTurn(state, it, me, now) }
        return if (due.isEmpty()) emptyList() else claim(state, me, due, now)
    }

    private fun isFit(state: ControlState, me: MemberEntry, now: Now): Boolean {
        val joined = state.phase == Phase.JOINED && me.member.generation == state.generation
        return joined && !state.isDraining(me) && !state.routerLost(now) && !state.routerLeaving
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

    private fun isMyTurn(state: ControlState, free: FreeGate, me: MemberEntry, now: Now): Boolean {
        val since = freeSince.getOrPut(free.server.name) { now.monotonic }
        val near = GateRanking.candidates(state).filter { it.member.domain == free.server.domain }
        val ranked = GateRanking.ranked(state, free.server, near.ifEmpty { GateRanking.candidates(state) })
        val rank = ranked.indexOfFirst { it.member.instance == me.member.instance }
        return rank >= 0 && now.monotonic - since >= rank * TURN_MILLISECONDS
    }

    private fun claim(state: ControlState, me: MemberEntry, due: List<FreeGate>, now: Now): List<ControlEffect> {
        val selfUnchanged = Condition(RowKeys.member(me.member.instance), me.version)
        val conditions = due.map { GateRanking.unchanged(it.entry) } + selfUnchanged
        val writes = due.map { GateRanking.claim(state, it.entry, suspectUntil(state, it, now)) }
        val names = due.joinToString { it.server.name.text }
        val audit = state.audit(AuditedChange("claim", names, "free", me.member.instance.text, "no holder"), now)
        return state.submit(Change("claim", conditions, writes, audit), now)
    }

    /** A holder that was replaced without a takeover may have run requests that it did not record. */
    private fun suspectUntil(state: ControlState, free: FreeGate, now: Now): Long {
        val gate = free.entry.gate
        val holder = gate.holder?.let { state.rows.members[it]?.member }
        val replaced = holder != null && holder.generation > gate.generation
        return if (replaced) now.wall + free.configuration.repeatWindowMilliseconds else 0
    }

    private companion object {
        const val TURN_MILLISECONDS = 300L
    }
}
