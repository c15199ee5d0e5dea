/*
 * The controller's interface to the router of its instance: orders to the router, and reports from it.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.placement.ShardMap
import rhubarbspool.table.GateEntry
import rhubarbspool.table.RowKeys

/** Grants permissions to the router and processes its reports. */
class RouterCoordinator internal constructor(private val state: ControlState) {
    /** Updates the state with a report of the router. */
    fun report(status: RouterStatus, now: Now) {
        if (status.isUrgent || status.reachable.any { state.reachable[it.key] != it.value }) state.routerChanges++
        status.releasedGates.forEach(::onGateReleased)
        status.releasedShards.forEach(::onShardReleased)
        status.reachable.forEach { (server, reachable) -> state.updateReachability(server, reachable, now) }
        status.crashes.filterNot { it in state.crashes }.forEach(state.crashes::add)
        status.hotKeys.forEach { onHotKey(it, now) }
        state.unrecordedRuns = status.unrecordedRuns
        state.lastRouterReportAt = now.monotonic
        state.routerStopped = false
        state.routerLeaving = status.leaving
    }

    /** Records that the router's process ended, or was disconnected for longer than any permission lasts. */
    fun onRouterStopped() {
        state.routerStopped = true
        state.routerChanges++
    }

    /**
     * What the router may do at [now]. Remaining times are relative to the router's last report, so that the router
     * can count them from when it sent that report.
     */
    fun orders(now: Now): Orders {
        val gates = state.ownGates().mapNotNull { gateOrder(it, now) }
        val held = gates.map { it.server }.toSet()
        val releases = state.moves.filterValues { it.source in held }.map { ReleaseOrder(it.key, it.value.order) }
        return Orders(gates, releases)
    }

    /** Whether the lease of this instance is valid at [now]. */
    fun leaseValid(now: Now): Boolean =
        state.generation > 0 && state.localLease.valid(now.monotonic, state.times.lease)

    /** Whether once-only requests may run without a record at the table: only if every successor knows of such runs. */
    fun unrecordedAllowed(now: Now): Boolean {
        return leaseValid(now) && state.unrecordedRuns && state.localLease.allInformed && state.remoteLease.allInformed
    }

    private fun onGateReleased(release: ReleaseOrder) {
        state.handovers.computeIfPresent(ServerName(release.subject)) { _, handover ->
            if (handover.order == release.order) handover.copy(drained = true) else handover
        }
    }

    private fun onShardReleased(release: ReleaseOrder) {
        state.moves.computeIfPresent(release.subject) { _, move ->
            if (move.order == release.order) move.copy(drained = true) else move
        }
    }

    private fun gateOrder(entry: GateEntry, now: Now): GateOrder? = usableUntil(entry, now)?.let { until ->
        GateOrder(
            entry.gate.server,
            entry.gate.epoch,
            minOf(until - (state.lastRouterReportAt ?: now.monotonic), state.times.lease),
            state.handovers[entry.gate.server]?.order ?: 0,
            entry.gate.suspectUntilMilliseconds,
        )
    }

    /** Monotonic time until which the gate of [entry] may be used; null when it may not be used at [now]. */
    private fun usableUntil(entry: GateEntry, now: Now): Long? {
        val complete = state.completeRevision >= maxOf(entry.version, state.leaseReacquiredVersion)
        val local = state.localLease.validUntil(state.times.lease).takeIf { complete && leaseValid(now) }
        val remote = state.remoteLeaseUntil(entry, now)
        return if (local == null || remote == null) null else minOf(local, remote)
    }

    private fun onHotKey(hot: HotKey, now: Now) {
        val configuration = state.configurations[hot.service]?.configuration ?: return
        val index = ShardMap.indexOf(hot.key, configuration.shards)
        state.lastHotAt[RowKeys.hotShard(hot.service, hot.key)] = now.monotonic
        HotKeySystem.startSplit(state, configuration, hot, index)
    }
}

private fun ControlState.updateReachability(server: ServerName, isReachable: Boolean, now: Now) {
    reachable[server] = isReachable
    if (isReachable) unreachableSince.remove(server) else unreachableSince.putIfAbsent(server, now.monotonic)
}

/**
 * Monotonic time until which no instance of another failure domain can take over the gate of [entry]; null when one
 * may have done so by [now].
 */
private fun ControlState.remoteLeaseUntil(entry: GateEntry, now: Now): Long? {
    val wait = self?.member?.remoteWaitMilliseconds ?: 0
    val moves = configurations[entry.gate.service]?.configuration?.moveAfterMilliseconds != null
    val duration = minOf(remoteLeaseMilliseconds ?: wait, wait)
    return when {
        !moves || wait == 0L -> Long.MAX_VALUE
        remoteLease.valid(now.monotonic, duration) -> remoteLease.validUntil(duration)
        else -> null
    }
}
