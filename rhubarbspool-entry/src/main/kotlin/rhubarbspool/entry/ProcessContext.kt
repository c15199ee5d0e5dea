/*
 * Objects that all parts of the process share.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import rhubarbspool.model.Now
import rhubarbspool.placement.InstanceReachability

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

    /** Which other instances can be reached from here. */
    val reachability = InstanceReachability()

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

    /** Whether the preferred dispatcher of [pool] is another instance, which may be at work at [now]. */
    fun isStandInFor(pool: PoolName, now: Long): Boolean {
        val preferred = duties.dispatchersOf(pool).firstOrNull()?.instance
        return preferred == null || (preferred != settings.instance && !reachability.isAvoided(preferred, now))
    }

    /** Monotonic milliseconds. */
    fun clock(): Long = now().monotonic
}
