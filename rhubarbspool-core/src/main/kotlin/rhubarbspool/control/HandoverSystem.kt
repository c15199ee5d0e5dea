/*
 * Gives gates away: when leaving, when drained, when the router is lost, and to even them out over the instances
 * of a failure domain. A gate is given away only after the router has stopped using it.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.CommitResult
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Hands gates over. */
internal class HandoverSystem : ControlSystem {
    private var balancedAt: Long = 0

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        state.handovers.keys.removeAll { server -> state.rows.gates[server]?.let { !state.isOwn(it) } ?: true }
        val me = state.self
        if (me == null || (state.phase != Phase.JOINED && state.phase != Phase.LEAVING)) return emptyList()
        plan(state, me, now)
        return state.handovers.filterValues { it.drained }.flatMap { (server, handover) ->
            finish(state, state.rows.gates.getValue(server), handover, now)
        }
    }

    private fun plan(state: ControlState, me: MemberEntry, now: Now) {
        val own = state.ownGates().filter { it.gate.server !in state.handovers }
        val routerLost = state.routerLost(now)
        val required = state.phase == Phase.LEAVING || routerLost || state.routerLeaving
        if (required || state.isDraining(me)) {
            own.forEach { giveAway(state, it, required) }
        } else if (now.monotonic - balancedAt >= BALANCING_MILLISECONDS && state.tableAnswers(now)) {
            balancedAt = now.monotonic
            surplus(state, own)?.let { giveAway(state, it, required = false) }
        }
        if (routerLost) state.handovers.replaceAll { _, handover -> handover.copy(drained = true) }
    }

    private fun giveAway(state: ControlState, entry: GateEntry, required: Boolean) {
        val target = bestTarget(state, entry)
        if (target == null && !required) return
        state.handovers[entry.gate.server] = GateHandover(++state.lastOrder, target?.member?.instance)
    }

    private fun bestTarget(state: ControlState, entry: GateEntry): MemberEntry? {
        val server = state.configurations[entry.gate.service]?.configuration?.server(entry.gate.server) ?: return null
        val others = GateRanking.candidates(state).filter { it.member.instance != state.identity.instance }
        val near = others.filter { it.member.domain == server.domain }
        return GateRanking.ranked(state, server, near.ifEmpty { others }).firstOrNull()
    }

    /** A gate that would be better held elsewhere: in the server's own domain, or by an instance with far fewer. */
    private fun surplus(state: ControlState, own: List<GateEntry>): GateEntry? {
        val counts = GateRanking.counts(state)
        val mine = counts[state.identity.instance.text] ?: 0
        return own.firstOrNull { entry ->
            val target = bestTarget(state, entry)?.member
            val theirs = counts[target?.instance?.text] ?: 0
            val home = state.configurations[entry.gate.service]?.configuration?.server(entry.gate.server)?.domain
            val belongsThere = target?.domain == home && state.identity.domain != home
            target != null && (belongsThere || (target.domain == state.identity.domain && mine - theirs > 1))
        }
    }

    private fun finish(state: ControlState, entry: GateEntry, handover: GateHandover, now: Now): List<ControlEffect> {
        val server = entry.gate.server
        val target = handover.target?.let { state.rows.members[it]?.member }?.takeIf { it.state == MemberState.ACTIVE }
        val body = entry.gate.copy(
            holder = target?.instance,
            generation = target?.generation ?: 0,
            epoch = entry.gate.epoch + 1,
            suspectUntilMilliseconds = suspectUntil(state, entry, now),
        )
        val trail = AuditedChange("handover", server.text, "${entry.gate.holder}", "${body.holder}", "given away")
        val change = Change(
            "handover/$server",
            listOf(GateRanking.unchanged(entry)),
            listOf(Write(RowKeys.gate(server), body)),
            state.audit(trail, now),
        )
        return state.submit(change, now) { result, _ ->
            if (result is CommitResult.Conflict) state.handovers.remove(server)
        }
    }

    /** A router that was lost took the knowledge of its unrecorded runs with it. */
    private fun suspectUntil(state: ControlState, entry: GateEntry, now: Now): Long {
        val lost = state.unrecordedRuns && state.routerLost(now)
        val window = state.configurations[entry.gate.service]?.configuration?.repeatWindowMilliseconds ?: 0
        return if (lost) now.wall + window else entry.gate.suspectUntilMilliseconds
    }

    private companion object {
        const val BALANCING_MILLISECONDS = 1_000L
    }
}
