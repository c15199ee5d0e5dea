/*
 * The decision code of one control process: takes events in, runs its systems each tick, gives effects out.
 * It does no input or output and reads no clock; the daemon, the fuzzer and the lab drive the same code.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseScope
import rhubarbspool.lease.LeaseTimes
import rhubarbspool.lease.Question
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.placement.ShardMap
import rhubarbspool.table.CommitResult
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.VersionedRow
import rhubarbspool.table.resolve
import kotlin.random.Random

/** A gate that the router may use for [remainingMilliseconds] from when it asked. */
data class GateOrder(
    val server: ServerName,
    val epoch: Long,
    val remainingMilliseconds: Long,
    val releaseOrder: Long,
    val suspectUntilMilliseconds: Long,
)

/** An order to the router to stop sending for the shard under the row key [subject]. */
data class ReleaseOrder(val subject: String, val order: Long)

/** What the router may do at one moment. */
data class Orders(val gates: List<GateOrder>, val releases: List<ReleaseOrder>)

/** What the router did and saw since its last report. */
data class RouterNews(
    val releasedGates: List<ReleaseOrder> = emptyList(),
    val releasedShards: List<ReleaseOrder> = emptyList(),
    val reachable: Map<ServerName, Boolean> = emptyMap(),
    val crashes: List<CrashNotice> = emptyList(),
    val hotKeys: List<HotKey> = emptyList(),
    val unrecordedRuns: Boolean = false,
    val leaving: Boolean = false,
)

/** A key that takes a large share of the slots of [server]. */
data class HotKey(val service: ServiceName, val key: String, val server: ServerName)

/** One control process. Not thread-safe: the caller sees to it that calls come one at a time. */
class ControlNode(identity: Identity, times: LeaseTimes, random: Random) {
    val state: ControlState = ControlState(identity, times, random)
    private val configurationSystem = ConfigurationSystem()
    private val systems: List<ControlSystem> = listOf(
        JoinSystem,
        SuccessorSystem(),
        TakeoverSystem,
        GateSystem(),
        ShardSystem(),
        ServerSystem,
        configurationSystem,
        RetrySystem,
        GossipSystem(),
    )

    /** Runs all systems at [now]. */
    fun tick(now: Now): List<ControlEffect> {
        if (state.phase == Phase.LEFT) return emptyList()
        noticeLapse(now)
        return systems.flatMap { it.run(state, now) }
    }

    /** Answers a [question] to [generation] of this instance at [now]; false when no promise is given. */
    fun onPromiseRequest(question: Question, generation: Long, now: Now): Boolean {
        if (generation != state.generation || state.phase == Phase.LEFT) return false
        return state.promises.promise(question, now.monotonic)
    }

    /** Takes in that the question [ask] was answered with a promise. */
    fun onPromise(ask: ControlEffect.AskPromise) {
        if (ask.generation != state.generation) return
        val lease = if (ask.scope == LeaseScope.LOCAL) state.local else state.remote
        lease.promised(ask.successor, ask.sentAt, ask.unrecordedRuns)
    }

    /** Takes in the table's answer to the transaction of [purpose] with [writeId]. */
    fun onCommit(purpose: String, writeId: String, answer: CommitResult, now: Now) {
        val write = state.pending[purpose]?.takeIf { it.transaction.writeId == writeId } ?: return
        val result = answer.resolve(write.transaction)
        if (result is CommitResult.Unknown) return
        state.tableAnsweredAt = now.monotonic
        state.pending.remove(purpose)
        when (result) {
            is CommitResult.Committed -> merge(result.rows, spread = true)
            is CommitResult.Conflict -> merge(result.rows, spread = false)
            is CommitResult.Unknown -> Unit
        }
        write.resolved(result, write)
    }

    /** Takes in all shared rows with versions up to [revision] that were read after [after]. */
    fun onScan(after: Long, rows: List<VersionedRow>, revision: Long, now: Now) {
        state.tableAnsweredAt = now.monotonic
        merge(rows, spread = true)
        if (after <= state.completeRevision) state.completeRevision = maxOf(state.completeRevision, revision)
    }

    /** Takes in rows that a peer passed on. */
    fun onRows(rows: List<VersionedRow>) = merge(rows, spread = true)

    /** Takes in the text of a configuration; the service that it changed, if any. */
    fun onObject(hash: String, text: String): ServiceName? = configurationSystem.adopt(state, hash, text)

    /** Takes in what the router reports. */
    fun onRouterNews(news: RouterNews, now: Now) {
        news.releasedGates.forEach { release ->
            val server = ServerName(release.subject)
            state.handovers.computeIfPresent(server) { _, handover ->
                if (handover.order == release.order) handover.copy(drained = true) else handover
            }
        }
        news.releasedShards.forEach { release ->
            state.moves.computeIfPresent(release.subject) { _, move ->
                if (move.order == release.order) move.copy(drained = true) else move
            }
        }
        news.reachable.forEach { (server, reachable) -> noteReachable(server, reachable, now) }
        news.crashes.filterNot { it in state.crashes }.forEach(state.crashes::add)
        news.hotKeys.forEach { noteHotKey(it, now) }
        state.unrecordedRuns = news.unrecordedRuns
        state.routerSeenAt = now.monotonic
        state.routerLeaving = news.leaving
    }

    /** What the router may do at [now]. */
    fun orders(now: Now): Orders {
        val gates = state.ownGates().mapNotNull { order(it, now) }
        val held = gates.map { it.server }.toSet()
        val releases = state.moves.filterValues { it.source in held }.map { ReleaseOrder(it.key, it.value.order) }
        return Orders(gates, releases)
    }

    /** Whether once-only requests may run at [now] without a record at the table: every successor is warned. */
    fun unrecordedAllowed(now: Now): Boolean = leaseValid(now) && state.unrecordedRuns &&
        state.local.allWarned && (state.remote.named.isEmpty() || state.remote.allWarned)

    /** Whether the lease of this instance holds at [now]. */
    fun leaseValid(now: Now): Boolean =
        state.generation > 0 && state.local.valid(now.monotonic, state.times.lease)

    /** Starts a planned stop: gates are handed over, then the instance says goodbye. */
    fun leave() {
        if (state.phase == Phase.STARTING) state.phase = Phase.LEFT else state.phase = Phase.LEAVING
    }

    private fun order(entry: GateEntry, now: Now): GateOrder? {
        val until = usableUntil(entry, now) ?: return null
        return GateOrder(
            entry.gate.server,
            entry.gate.epoch,
            minOf(until - now.monotonic, state.times.lease),
            state.handovers[entry.gate.server]?.order ?: 0,
            entry.gate.suspectUntilMilliseconds,
        )
    }

    private fun usableUntil(entry: GateEntry, now: Now): Long? {
        val complete = state.completeRevision >= maxOf(entry.version, state.regainVersion)
        if (!complete || !leaseValid(now)) return null
        val local = state.local.validUntil(state.times.lease)
        val remoteWait = state.self?.member?.remoteWaitMilliseconds ?: 0
        val moves = state.configurations[entry.gate.service]?.configuration?.moveAfterMilliseconds != null
        if (!moves || remoteWait == 0L) return local
        val duration = minOf(state.remoteLease ?: remoteWait, remoteWait)
        if (!state.remote.valid(now.monotonic, duration)) return null
        return minOf(local, state.remote.validUntil(duration))
    }

    private fun noticeLapse(now: Now) {
        if (state.generation > 0) state.local.valid(now.monotonic, state.times.lease)
        state.remoteLease?.let { state.remote.valid(now.monotonic, it) }
        val self = state.self?.member ?: return
        val replaced = self.generation != state.generation || self.state == MemberState.GONE
        if (state.generation > 0 && replaced && state.phase != Phase.LEFT) restart(now)
    }

    private fun restart(now: Now) {
        state.local.lost()
        state.remote.lost()
        state.generation = 0
        state.startedAt = now.monotonic
        state.phase = if (state.phase == Phase.LEAVING) Phase.LEFT else Phase.STARTING
    }

    private fun merge(rows: List<VersionedRow>, spread: Boolean) {
        rows.filter { GossipSystem.isSpread(it.key) }.forEach { row ->
            if (state.rows.merge(row) && spread) state.fresh += row
        }
    }

    private fun noteReachable(server: ServerName, reachable: Boolean, now: Now) {
        state.reachable[server] = reachable
        if (reachable) {
            state.unreachableSince.remove(
                server
            )
        } else {
            state.unreachableSince.putIfAbsent(server, now.monotonic)
        }
    }

    private fun noteHotKey(hot: HotKey, now: Now) {
        val configuration = state.configurations[hot.service]?.configuration ?: return
        val index = ShardMap.indexOf(hot.key, configuration.shards)
        state.hotSince[RowKeys.hotShard(hot.service, hot.key)] = now.monotonic
        ShardSystem.split(state, configuration, hot.key, hot.server, index)
    }
}
