/*
 * The decision logic of one controller process: it receives events, runs its systems on each tick and returns effects.
 * It does no input or output and reads no clock, so the daemon, the fuzz tests and the lab drive the same code.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseScope
import rhubarbspool.lease.LeaseTimes
import rhubarbspool.lease.PromiseQuery
import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.RowKeys
import rhubarbspool.table.VersionedRow
import rhubarbspool.table.isShared
import rhubarbspool.table.resolve
import kotlin.random.Random

/** One controller process. Not thread-safe: the caller must serialise all calls. */
class ControlNode(identity: Identity, times: LeaseTimes, random: Random) {
    val state: ControlState = ControlState(identity, times, random)

    /** Exchanges orders and reports with the router of this instance. */
    val router: RouterCoordinator = RouterCoordinator(state)
    private val configurationSystem = ConfigurationSystem()
    private val systems: List<ControlSystem> = listOf(
        LapseSystem,
        JoinSystem,
        SuccessorSystem(),
        TakeoverSystem,
        ChangeTriggeredSystem(ClaimSystem(), IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(HandoverSystem(), IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(ShardCreationSystem(), IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(ShardMoveSystem(), IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(HotKeySystem, IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(ServerStatusSystem, IDLE_INTERVAL_MILLISECONDS),
        ChangeTriggeredSystem(configurationSystem, IDLE_INTERVAL_MILLISECONDS),
        RetrySystem,
        GossipSystem(),
    )

    /** Runs all systems; returns the effects that the caller must execute. */
    fun tick(now: Now): List<ControlEffect> {
        if (state.phase == Phase.LEFT) return emptyList()
        return systems.flatMap { it.run(state, now) }
    }

    /** Responds to a holder's [question] addressed to [generation] of this instance; false when it gives no promise. */
    fun onPromiseRequest(question: PromiseQuery, generation: Long, now: Now): Boolean {
        if (generation != state.generation || state.phase == Phase.LEFT) return false
        return state.promises.promise(question, now.monotonic)
    }

    /** Renews the lease with the promise that a successor gave in response to [request]. */
    fun onPromise(request: ControlEffect.RequestPromise) {
        if (request.generation != state.generation) return
        val lease = if (request.scope == LeaseScope.LOCAL) state.localLease else state.remoteLease
        lease.recordPromise(request.successor, request.sentAt, request.unrecordedRuns)
    }

    /** Resolves the pending transaction of [purpose] with the table's response, if [writeId] is still its write id. */
    fun onCommit(purpose: String, writeId: String, answer: CommitResult, now: Now) {
        val write = state.pending[purpose]?.takeIf { it.transaction.writeId == writeId } ?: return
        val result = answer.resolve(write.transaction)
        if (result is CommitResult.Unknown) return
        state.lastTableResponseAt = now.monotonic
        state.pending.remove(purpose)
        when (result) {
            is CommitResult.Committed -> merge(result.rows, forward = true)
            is CommitResult.Conflict -> merge(result.rows, forward = false)
            is CommitResult.Unknown -> Unit
        }
        write.onResolved(result, write)
    }

    /** Merges a scan of the table: all shared rows with versions after [after] and up to [revision]. */
    fun onScan(after: Long, rows: List<VersionedRow>, revision: Long, now: Now) {
        state.lastTableResponseAt = now.monotonic
        merge(rows, forward = true)
        if (after <= state.completeRevision) state.completeRevision = maxOf(state.completeRevision, revision)
    }

    /** Merges rows received from a peer. */
    fun onRows(rows: List<VersionedRow>) = merge(rows, forward = true)

    /** Applies the configuration object [hash]; returns the service that it changed, if any. */
    fun onObject(hash: String, text: String): ServiceName? = configurationSystem.apply(state, hash, text)

    /** Starts a planned stop: the instance hands over its gates, then leaves the membership. */
    fun leave() {
        if (state.phase == Phase.STARTING) state.phase = Phase.LEFT else state.phase = Phase.LEAVING
    }

    private fun merge(rows: List<VersionedRow>, forward: Boolean) {
        rows.filter { RowKeys.isShared(it.key) }.forEach { row ->
            if (state.rows.merge(row) && forward) state.rowsToPush += row
        }
    }

    private companion object {
        const val IDLE_INTERVAL_MILLISECONDS = 250L
    }
}
