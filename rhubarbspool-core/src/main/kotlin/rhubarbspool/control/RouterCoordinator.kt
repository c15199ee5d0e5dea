/*
 * The controller's side towards the router of its instance: what the router may do, and what it reports.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.placement.ShardMap
import rhubarbspool.table.GateEntry
import rhubarbspool.table.RowKeys

/** Gives permissions to the router and takes its reports. */
class RouterCoordinator internal constructor(private val state: ControlState) {
    /** Takes in what the router reports at [now]. */
    fun report(news: RouterNews, now: Now) {
        if (news.callsForAction || news.reachable.any { state.reachable[it.key] != it.value }) state.news++
        news.releasedGates.forEach(::gateReleased)
        news.releasedShards.forEach(::shardReleased)
        news.reachable.forEach { (server, reachable) -> state.noteReachable(server, reachable, now) }
        news.crashes.filterNot { it in state.crashes }.forEach(state.crashes::add)
        news.hotKeys.forEach { noteHotKey(it, now) }
        state.unrecordedRuns = news.unrecordedRuns
        state.routerSeenAt = now.monotonic
        state.routerGone = false
        state.routerLeaving = news.leaving
    }

    /** The router's process has ended, or has lost its connection for longer than any permission lasts. */
    fun gone() {
        state.routerGone = true
        state.news++
    }

    /**
     * What the router may do at [now]. Times that remain count from the router's last report, so that the router
     * can count them from when it sent that report.
     */
    fun orders(now: Now): Orders {
        val gates = state.ownGates().mapNotNull { order(it, now) }
        val held = gates.map { it.server }.toSet()
        val releases = state.moves.filterValues { it.source in held }.map { ReleaseOrder(it.key, it.value.order) }
        return Orders(gates, releases)
    }

    /** Whether the lease of this instance holds at [now]. */
    fun leaseValid(now: Now): Boolean =
        state.generation > 0 && state.local.valid(now.monotonic, state.times.lease)

    /** Whether once-only requests may run at [now] without a record at the table: every successor is warned. */
    fun unrecordedAllowed(now: Now): Boolean {
        return leaseValid(now) && state.unrecordedRuns && state.local.allInformed && state.remote.allInformed
    }

    private fun gateReleased(release: ReleaseOrder) {
        state.handovers.computeIfPresent(ServerName(release.subject)) { _, handover ->
            if (handover.order == release.order) handover.copy(drained = true) else handover
        }
    }

    private fun shardReleased(release: ReleaseOrder) {
        state.moves.computeIfPresent(release.subject) { _, move ->
            if (move.order == release.order) move.copy(drained = true) else move
        }
    }

    private fun order(entry: GateEntry, now: Now): GateOrder? = usableUntil(entry, now)?.let { until ->
        GateOrder(
            entry.gate.server,
            entry.gate.epoch,
            minOf(until - (state.routerSeenAt ?: now.monotonic), state.times.lease),
            state.handovers[entry.gate.server]?.order ?: 0,
            entry.gate.suspectUntilMilliseconds,
        )
    }

    /** Until when the gate of [entry] may be used; null when it may not be used at [now]. */
    private fun usableUntil(entry: GateEntry, now: Now): Long? {
        val complete = state.completeRevision >= maxOf(entry.version, state.regainVersion)
        val local = state.local.validUntil(state.times.lease).takeIf { complete && leaseValid(now) }
        val remote = state.remoteUntil(entry, now)
        return if (local == null || remote == null) null else minOf(local, remote)
    }

    private fun noteHotKey(hot: HotKey, now: Now) {
        val configuration = state.configurations[hot.service]?.configuration ?: return
        val index = ShardMap.indexOf(hot.key, configuration.shards)
        state.hotSince[RowKeys.hotShard(hot.service, hot.key)] = now.monotonic
        HotKeySystem.split(state, configuration, hot, index)
    }
}

private fun ControlState.noteReachable(server: ServerName, isReachable: Boolean, now: Now) {
    reachable[server] = isReachable
    if (isReachable) unreachableSince.remove(server) else unreachableSince.putIfAbsent(server, now.monotonic)
}

/** Until when no other failure domain may take the gate of [entry]; null when one may have by [now]. */
private fun ControlState.remoteUntil(entry: GateEntry, now: Now): Long? {
    val wait = self?.member?.remoteWaitMilliseconds ?: 0
    val moves = configurations[entry.gate.service]?.configuration?.moveAfterMilliseconds != null
    val duration = minOf(remoteLease ?: wait, wait)
    return when {
        !moves || wait == 0L -> Long.MAX_VALUE
        remote.valid(now.monotonic, duration) -> remote.validUntil(duration)
        else -> null
    }
}
