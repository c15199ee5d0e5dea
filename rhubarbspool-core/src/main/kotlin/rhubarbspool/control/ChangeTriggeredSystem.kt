/*
 * Runs a system only when its input has changed or an interval has passed. Running every system on every tick cost a
 * controller with 36 servers a fifth of a core.
 */
package rhubarbspool.control

import rhubarbspool.model.Now

/** Runs [system] when rows or the router's reports have changed, otherwise every [intervalMilliseconds]. */
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
