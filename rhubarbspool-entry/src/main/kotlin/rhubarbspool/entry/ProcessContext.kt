/*
 * Objects that all parts of the process share.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import rhubarbspool.dispatch.Disorder
import rhubarbspool.model.Address
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
    /** Tasks on the event loop. */
    val tasks = LoopTasks(loop, log)

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

    /** Whether the preferred dispatcher of [pool] is another instance, which may be at work. */
    fun isStandInFor(pool: PoolName): Boolean {
        val preferred = duties.dispatchersOf(pool).firstOrNull()?.instance
        return preferred == null || (preferred != settings.instance && !reachability.isAvoided(preferred))
    }

    /** A connection to [member] was lost; [silent] if it stopped responding. */
    fun recordLoss(member: Member, silent: Boolean) {
        val isNew = reachability.recordLoss(member.instance, member.domain, silent, clock())
        if (isNew) logReachability(member, if (silent) "silent" else "unreachable")
    }

    /**
     * A message from [member] arrived, with its feed [versions] if it contained any. One that has just started and does
     * not know the servers yet can perform no duty, so it counts as reachable only once it does.
     */
    fun recordContact(member: Member, versions: FeedVersions?) {
        if (versions?.servers == 0L) return
        val wasAvoided = reachability.recordContact(member.instance, member.domain, clock())
        if (wasAvoided) logReachability(member, "reachable")
    }

    /** A connection to the server at [address] was out of order; see [DisorderListener]. */
    fun onDisorder(address: Address, disorder: Disorder, milliseconds: Long?) {
        metrics.recordDisorder(disorder.name)
        if (milliseconds == null) return
        log.belief("connections", "server" to address, "disorder" to disorder, "notReusedFor" to milliseconds)
    }

    private fun logReachability(member: Member, state: String) = log.belief(
        "instance",
        "instance" to member.instance,
        "state" to state,
        "domain" to member.domain,
        "cutOff" to reachability.isCutOff(member.domain),
    )

    /** Monotonic milliseconds. */
    fun clock(): Long = now().monotonic
}
