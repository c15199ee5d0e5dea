/*
 * Joins and leaves the membership. A new generation is written only when a takeover wait has passed since the start, so
 * that the permissions of an earlier generation's router on the same machine have certainly expired.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.MemberBody
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Joins after a start or after a takeover from this instance, and deregisters it when it leaves. */
internal object JoinSystem : ControlSystem {
    /**
     * Takeover waits before a crashed process joins again. The second one lets a successor take over first, since
     * successors know whether there were unrecorded runs.
     */
    private const val WAITS_AFTER_CRASH = 2

    override fun run(state: ControlState, now: Now): List<ControlEffect> = when (state.phase) {
        Phase.STARTING -> join(state, now)
        Phase.LEAVING -> leave(state, now)
        else -> emptyList()
    }

    private fun join(state: ControlState, now: Now): List<ControlEffect> {
        val startedAt = state.startedAt ?: now.monotonic.also { state.startedAt = it }
        val crashed = state.self?.member?.state == MemberState.ACTIVE
        val wait = state.times.takeoverWait * if (crashed) WAITS_AFTER_CRASH else 1
        val waited = now.monotonic - startedAt >= wait
        if (!waited || MemberWrite.PURPOSE in state.pending) return emptyList()
        val body = MemberBody(
            instance = state.identity.instance,
            domain = state.identity.domain,
            controller = state.identity.controller,
            router = state.identity.router,
            generation = (state.self?.member?.generation ?: 0) + 1,
        )
        return MemberWrite.submit(state, SuccessorSystem.withSuccessors(state, body, now), now)
    }

    private fun leave(state: ControlState, now: Now): List<ControlEffect> {
        val self = state.self ?: return emptyList<ControlEffect>().also { state.phase = Phase.LEFT }
        return when {
            self.member.state == MemberState.ACTIVE ->
                MemberWrite.submit(state, self.member.copy(state = MemberState.LEAVING), now)

            state.ownGates().isEmpty() -> deregister(state, self.member, now)
            else -> emptyList()
        }
    }

    private fun deregister(state: ControlState, member: MemberBody, now: Now): List<ControlEffect> {
        val key = RowKeys.member(member.instance)
        val goneBody = member.copy(state = MemberState.GONE, successors = emptyList(), remoteSuccessors = emptyList())
        val change = Change(
            "goodbye",
            listOf(Condition(key, state.rows.version(key))),
            listOf(Write(key, goneBody)),
            state.audit(AuditedChange("leave", member.instance.text, "leaving", "gone", "planned stop"), now),
        )
        return state.submit(change, now) { result, _ ->
            if (result is CommitResult.Committed) state.phase = Phase.LEFT
        }
    }
}
