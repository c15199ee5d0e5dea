/*
 * Objects that all parts of the process share.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import rhubarbspool.model.Now

/** Settings, state and clock of the process; all its code runs on the event loop [loop]. */
internal class ProcessContext(
    settings: EntrySettings,
    val state: EntryState,
    val loop: EventLoop,
    val log: DecisionLog,
    val metrics: EntryMetrics,
    val now: () -> Now,
) {
    /** The settings in force. */
    var settings: EntrySettings = settings
        private set

    /** Which instances perform duties for others. */
    val duties = DutyRanking(state.shared)

    /** Applies [next], except for names and addresses, which can't change while the process runs. */
    fun reload(next: EntrySettings) {
        val kept = next.copy(
            instance = settings.instance,
            domain = settings.domain,
            callers = settings.callers,
            readiness = settings.readiness,
            peers = settings.peers,
            metrics = settings.metrics,
        )
        log.event("settings.reloaded", "changed" to (kept != settings), "needsRestart" to (kept != next))
        settings = kept
    }

    /** Monotonic milliseconds. */
    fun clock(): Long = now().monotonic
}
