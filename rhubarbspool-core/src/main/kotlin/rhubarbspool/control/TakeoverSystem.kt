/*
 * Takes over from holders that name this instance as a successor and have requested no promise for the takeover wait.
 * The transaction is conditional on the holder's row, on each gate row and on this instance's own row, so that a
 * successor that was itself replaced changes nothing.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.Now
import rhubarbspool.table.Condition
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberBody
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Successor
import rhubarbspool.table.Write

/** Takes over gates whose holder's lease has expired. */
internal object TakeoverSystem : ControlSystem {
    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED) return emptyList()
        val self = Successor(state.identity.instance, state.generation)
        return state.rows.members.values
            .filter { it.member.instance != self.instance && it.member.state != MemberState.GONE }
            .flatMap { holder -> checkHolder(state, holder, self, now) }
    }

    private fun checkHolder(state: ControlState, holder: MemberEntry, self: Successor, now: Now): List<ControlEffect> {
        val member = holder.member
        val local = self in member.successors && isDue(state, holder, LeaseScope.LOCAL, state.times.takeoverWait, now)
        if (self !in member.successors) state.promises.stopWatching(member.instance, LeaseScope.LOCAL)
        if (local) return takeOver(state, holder, LeaseScope.LOCAL, now)
        val remote = self in member.remoteSuccessors && member.remoteWaitMilliseconds > 0 &&
            isDue(state, holder, LeaseScope.REMOTE, member.remoteWaitMilliseconds, now)
        if (self !in member.remoteSuccessors) state.promises.stopWatching(member.instance, LeaseScope.REMOTE)
        return if (remote) takeOver(state, holder, LeaseScope.REMOTE, now) else emptyList()
    }

    private fun isDue(state: ControlState, holder: MemberEntry, scope: LeaseScope, wait: Long, now: Now): Boolean =
        state.promises.takeoverDue(holder.member.instance, scope, holder.version, wait, now.monotonic)

    private fun takeOver(state: ControlState, holder: MemberEntry, scope: LeaseScope, now: Now): List<ControlEffect> {
        val gates = state.rows.gates.values.filter { belongsTo(state, it, holder.member, scope) }
        if (scope == LeaseScope.REMOTE && gates.isEmpty()) return emptyList()
        val selfKey = RowKeys.member(state.identity.instance)
        val holderKey = RowKeys.member(holder.member.instance)
        val conditions = listOf(Condition(holderKey, holder.version), Condition(selfKey, state.rows.version(selfKey))) +
            gates.map(GateRanking::unchangedCondition)
        val suspectUntil = suspectUntil(state, holder.member, now)
        val writes = listOf(Write(holderKey, updatedHolder(holder.member, scope))) +
            gates.map { GateRanking.claimWrite(state, it, suspectUntil) }
        val audit = AuditedChange("takeover", holder.member.instance.text, "holder", "gone", "no sign of life ($scope)")
        val change = Change("takeover/${holder.member.instance}", conditions, writes, state.audit(audit, now))
        state.promises.onTakeoverStarted(holder.member.instance)
        return state.submit(change, now) { _, _ ->
            state.promises.onTakeoverResolved(holder.member.instance)
        }
    }

    private fun belongsTo(state: ControlState, entry: GateEntry, member: MemberBody, scope: LeaseScope): Boolean {
        val held = entry.gate.holder == member.instance && entry.gate.generation == member.generation
        val moves = state.configurations[entry.gate.service]?.configuration?.moveAfterMilliseconds != null
        return held && (scope == LeaseScope.LOCAL || moves)
    }

    /**
     * A remote takeover leaves the holder its other gates, but rewrites its row, so that the holder must read the table
     * before it can reacquire its lease.
     */
    private fun updatedHolder(member: MemberBody, scope: LeaseScope): MemberBody = when (scope) {
        LeaseScope.LOCAL ->
            member.copy(state = MemberState.GONE, successors = emptyList(), remoteSuccessors = emptyList())
        LeaseScope.REMOTE -> member
    }

    /** Wall-clock time until which a repeated request may already have run without a record; 0 if none can have. */
    private fun suspectUntil(state: ControlState, member: MemberBody, now: Now): Long {
        if (!state.promises.hasUnrecordedRuns(member.instance)) return 0
        val window = state.configurations.values.maxOfOrNull { it.configuration.repeatWindowMilliseconds } ?: 0
        return now.wall + window
    }
}
