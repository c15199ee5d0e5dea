/*
 * Writing this instance's own row. Each confirmed write is evidence for the leases, counted from when it was
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

/** Writes the own row and draws the consequences. */
internal object MemberWrite {
    /** Purpose under which the open write of the own row is kept. */
    const val PURPOSE = "member"

    /** Sends [body] as the new own row, unless a write of it is open. */
    fun submit(state: ControlState, body: MemberBody, now: Now): List<ControlEffect> {
        if (PURPOSE in state.pending) return emptyList()
        val key = RowKeys.member(body.instance)
        val change = Change(PURPOSE, listOf(Condition(key, state.rows.version(key))), listOf(Write(key, body)))
        state.local.proposeSuccessors(body.successors, now.monotonic)
        state.remote.proposeSuccessors(body.remoteSuccessors, now.monotonic)
        return state.submit(change, now) { result, write ->
            if (result is CommitResult.Committed) confirmed(state, body, write, result)
        }
    }

    private fun confirmed(
        state: ControlState,
        body: MemberBody,
        write: PendingWrite,
        result: CommitResult.Committed,
    ) {
        val key = RowKeys.member(body.instance)
        val version = result.rows.firstOrNull { it.key == key }?.version ?: return
        if (state.rows.version(key) != version) return
        if (state.local.lapsed || state.remote.lapsed) state.regainVersion = version
        state.local.confirmedByTable(body.successors, write.firstSentAt)
        state.remote.confirmedByTable(body.remoteSuccessors, write.firstSentAt)
        state.generation = body.generation
        if (state.phase == Phase.STARTING && body.state == MemberState.ACTIVE) state.phase = Phase.JOINED
    }
}
