/*
 * Most systems have nothing to do while nothing changes. Running them on every tick cost a controller a fifth of a
 * core with 36 servers.
 */
package rhubarbspool.control

import rhubarbspool.model.Now

/** Runs [system] when rows or the router's reports changed, and else every [intervalMilliseconds]. */
internal class ChangeTriggeredSystem(
    private val system: ControlSystem,
    private val intervalMilliseconds: Long,
) : ControlSystem {
    private var lastRunAt = Long.MIN_VALUE / 2
    private var lastRowChanges = -1L
    private var lastRouterChanges = -1L

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        val changed = state.rows.changes != lastRowChanges || state.routerChanges != lastRouterChanges
        if (!changed && now.monotonic - lastRunAt < intervalMilliseconds) return emptyList()
        lastRunAt = now.monotonic
        lastRowChanges = state.rows.changes
        lastRouterChanges = state.routerChanges
        return system.run(state, now)
    }
}
