/*
 * Detects lapsed leases, and takeovers of this instance's gates by another instance.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.MemberState

/** Records lapses; makes this instance join again when it was replaced. */
internal object LapseSystem : ControlSystem {
    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.generation > 0) {
            state.localLease.valid(now.monotonic, state.times.lease)
            state.remoteLeaseMilliseconds?.let { state.remoteLease.valid(now.monotonic, it) }
            if (wasReplaced(state)) rejoin(state, now)
        }
        return emptyList()
    }

    private fun wasReplaced(state: ControlState): Boolean {
        val self = state.self?.member ?: return false
        return self.generation != state.generation || self.state == MemberState.GONE
    }

    private fun rejoin(state: ControlState, now: Now) {
        state.localLease.revoke()
        state.remoteLease.revoke()
        state.generation = 0
        state.startedAt = now.monotonic
        state.phase = if (state.phase == Phase.LEAVING) Phase.LEFT else Phase.STARTING
    }
}
