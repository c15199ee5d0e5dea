/*
 * Hands over gates when the instance leaves or is drained, when its router is lost, and to balance gates between the
 * instances of a failure domain. A gate is handed over only after the router has stopped using it.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.CommitResult
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Hands over gates to other instances. */
internal class HandoverSystem : ControlSystem {
    private var lastBalancedAt: Long = 0

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        state.handovers.keys.removeAll { server -> state.rows.gates[server]?.let { !state.isOwn(it) } ?: true }
        val self = state.self
        if (self == null || (state.phase != Phase.JOINED && state.phase != Phase.LEAVING)) return emptyList()
        planHandovers(state, self, now)
        return state.handovers.filterValues { it.drained }.flatMap { (server, handover) ->
            commitHandover(state, state.rows.gates.getValue(server), handover, now)
        }
    }

    private fun planHandovers(state: ControlState, self: MemberEntry, now: Now) {
        val ownGates = state.ownGates().filter { it.gate.server !in state.handovers }
        val routerLost = state.isRouterLost(now)
        val required = state.phase == Phase.LEAVING || routerLost || state.routerLeaving
        if (required || state.isDraining(self)) {
            ownGates.forEach { startHandover(state, it, required) }
        } else if (now.monotonic - lastBalancedAt >= BALANCING_INTERVAL_MILLISECONDS && state.isTableResponsive(now)) {
            lastBalancedAt = now.monotonic
            gateToRebalance(state, ownGates)?.let { startHandover(state, it, required = false) }
        }
        if (routerLost) state.handovers.replaceAll { _, handover -> handover.copy(drained = true) }
    }

    private fun startHandover(state: ControlState, entry: GateEntry, required: Boolean) {
        val target = bestTarget(state, entry)
        if (target == null && !required) return
        state.handovers[entry.gate.server] = GateHandover(++state.lastOrderNumber, target?.member?.instance)
    }

    private fun bestTarget(state: ControlState, entry: GateEntry): MemberEntry? {
        val server = state.configurations[entry.gate.service]?.configuration?.server(entry.gate.server) ?: return null
        val others = GateRanking.candidates(state).filter { it.member.instance != state.identity.instance }
        val sameDomain = others.filter { it.member.domain == server.domain }
        return GateRanking.ranked(state, server, sameDomain.ifEmpty { others }).firstOrNull()
    }

    /** A gate to hand over to the server's own failure domain, or to an instance with at least two gates fewer. */
    private fun gateToRebalance(state: ControlState, ownGates: List<GateEntry>): GateEntry? {
        val heldCounts = GateRanking.heldCounts(state)
        val ownCount = heldCounts[state.identity.instance.text] ?: 0
        return ownGates.firstOrNull { entry ->
            val target = bestTarget(state, entry)?.member
            val targetCount = heldCounts[target?.instance?.text] ?: 0
            val domain = state.configurations[entry.gate.service]?.configuration?.server(entry.gate.server)?.domain
            val isMisplaced = target?.domain == domain && state.identity.domain != domain
            target != null && (isMisplaced || (target.domain == state.identity.domain && ownCount - targetCount > 1))
        }
    }

    private fun commitHandover(
        state: ControlState,
        entry: GateEntry,
        handover: GateHandover,
        now: Now,
    ): List<ControlEffect> {
        val server = entry.gate.server
        val target = handover.target?.let { state.rows.members[it]?.member }?.takeIf { it.state == MemberState.ACTIVE }
        val body = entry.gate.copy(
            holder = target?.instance,
            generation = target?.generation ?: 0,
            epoch = entry.gate.epoch + 1,
            suspectUntilMilliseconds = suspectUntil(state, entry, now),
        )
        val audited = AuditedChange("handover", server.text, "${entry.gate.holder}", "${body.holder}", "given away")
        val change = Change(
            "handover/$server",
            listOf(GateRanking.unchangedCondition(entry)),
            listOf(Write(RowKeys.gate(server), body)),
            state.audit(audited, now),
        )
        return state.submit(change, now) { result, _ ->
            if (result is CommitResult.Conflict) state.handovers.remove(server)
        }
    }

    /** A lost router can't report its unrecorded runs, so every request of the repeat window is suspect. */
    private fun suspectUntil(state: ControlState, entry: GateEntry, now: Now): Long {
        val lost = state.unrecordedRuns && state.isRouterLost(now)
        val window = state.configurations[entry.gate.service]?.configuration?.repeatWindowMilliseconds ?: 0
        return if (lost) now.wall + window else entry.gate.suspectUntilMilliseconds
    }

    private companion object {
        const val BALANCING_INTERVAL_MILLISECONDS = 1_000L
    }
}
