/*
 * Writes this instance's own member row. Each confirmed write renews the leases, counted from when the write was
 * first sent.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.MemberBody
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Writes the own member row, and updates leases, generation and phase on success. */
internal object MemberWrite {
    /** Purpose of a pending write of the own row. */
    const val PURPOSE = "member"

    /** Submits [body] as the own row, unless a write of that row is pending. */
    fun submit(state: ControlState, body: MemberBody, now: Now): List<ControlEffect> {
        if (PURPOSE in state.pending) return emptyList()
        val key = RowKeys.member(body.instance)
        val change = Change(PURPOSE, listOf(Condition(key, state.rows.version(key))), listOf(Write(key, body)))
        state.localLease.proposeSuccessors(body.successors, now.monotonic)
        state.remoteLease.proposeSuccessors(body.remoteSuccessors, now.monotonic)
        return state.submit(change, now) { result, write ->
            if (result is CommitResult.Committed) onConfirmed(state, body, write, result)
        }
    }

    private fun onConfirmed(
        state: ControlState,
        body: MemberBody,
        write: PendingWrite,
        result: CommitResult.Committed,
    ) {
        val key = RowKeys.member(body.instance)
        val version = result.rows.firstOrNull { it.key == key }?.version ?: return
        if (state.rows.version(key) != version) return
        if (state.localLease.lapsed || state.remoteLease.lapsed) state.leaseReacquiredVersion = version
        state.localLease.confirmedByTable(body.successors, write.firstSentAt)
        state.remoteLease.confirmedByTable(body.remoteSuccessors, write.firstSentAt)
        state.generation = body.generation
        if (state.phase == Phase.STARTING && body.state == MemberState.ACTIVE) state.phase = Phase.JOINED
    }
}
