/*
 * Most systems have nothing to do while nothing changes. Running them on every tick cost a controller a fifth of a
 * core with 36 servers.
 */
package rhubarbspool.control

import rhubarbspool.model.Now

/** Runs [system] when rows or the router's reports changed, and else every [everyMilliseconds]. */
internal class PacedSystem(private val system: ControlSystem, private val everyMilliseconds: Long) : ControlSystem {
    private var ranAt = Long.MIN_VALUE / 2
    private var seenRows = -1L
    private var seenNews = -1L

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        val changed = state.rows.changes != seenRows || state.news != seenNews
        if (!changed && now.monotonic - ranAt < everyMilliseconds) return emptyList()
        ranAt = now.monotonic
        seenRows = state.rows.changes
        seenNews = state.news
        return system.run(state, now)
    }
}
