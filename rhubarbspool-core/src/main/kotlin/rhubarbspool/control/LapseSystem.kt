/*
 * Notices that leases lapsed, and that another instance took over from this one.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.MemberState

/** Remembers lapses; starts this instance anew when it was replaced. */
internal object LapseSystem : ControlSystem {
    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.generation > 0) {
            state.local.valid(now.monotonic, state.times.lease)
            state.remoteLease?.let { state.remote.valid(now.monotonic, it) }
            if (wasReplaced(state)) restart(state, now)
        }
        return emptyList()
    }

    private fun wasReplaced(state: ControlState): Boolean {
        val self = state.self?.member ?: return false
        return self.generation != state.generation || self.state == MemberState.GONE
    }

    private fun restart(state: ControlState, now: Now) {
        state.local.revoke()
        state.remote.revoke()
        state.generation = 0
        state.startedAt = now.monotonic
        state.phase = if (state.phase == Phase.LEAVING) Phase.LEFT else Phase.STARTING
    }
}
