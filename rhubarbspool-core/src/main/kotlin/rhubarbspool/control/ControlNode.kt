/*
 * The decision code of one control process: takes events in, runs its systems each tick, gives effects out.
 * It does no input or output and reads no clock; the daemon, the fuzzer and the lab drive the same code.
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

/** One control process. Not thread-safe: the caller sees to it that calls come one at a time. */
class ControlNode(identity: Identity, times: LeaseTimes, random: Random) {
    val state: ControlState = ControlState(identity, times, random)

    /** The side towards the router of this instance. */
    val router: RouterCoordinator = RouterCoordinator(state)
    private val configurationSystem = ConfigurationSystem()
    private val systems: List<ControlSystem> = listOf(
        LapseSystem,
        JoinSystem,
        SuccessorSystem(),
        TakeoverSystem,
        PacedSystem(ClaimSystem(), IDLE_MILLISECONDS),
        PacedSystem(HandoverSystem(), IDLE_MILLISECONDS),
        PacedSystem(ShardCreationSystem(), IDLE_MILLISECONDS),
        PacedSystem(ShardMoveSystem(), IDLE_MILLISECONDS),
        PacedSystem(HotKeySystem, IDLE_MILLISECONDS),
        PacedSystem(ServerSystem, IDLE_MILLISECONDS),
        PacedSystem(configurationSystem, IDLE_MILLISECONDS),
        RetrySystem,
        GossipSystem(),
    )

    /** Runs all systems at [now]. */
    fun tick(now: Now): List<ControlEffect> {
        if (state.phase == Phase.LEFT) return emptyList()
        return systems.flatMap { it.run(state, now) }
    }

    /** Answers a [question] to [generation] of this instance at [now]; false when no promise is given. */
    fun onPromiseRequest(question: PromiseQuery, generation: Long, now: Now): Boolean {
        if (generation != state.generation || state.phase == Phase.LEFT) return false
        return state.promises.promise(question, now.monotonic)
    }

    /** Takes in that the question [ask] was answered with a promise. */
    fun onPromise(ask: ControlEffect.AskPromise) {
        if (ask.generation != state.generation) return
        val lease = if (ask.scope == LeaseScope.LOCAL) state.local else state.remote
        lease.recordPromise(ask.successor, ask.sentAt, ask.unrecordedRuns)
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

    /** Starts a planned stop: gates are handed over, then the instance says goodbye. */
    fun leave() {
        if (state.phase == Phase.STARTING) state.phase = Phase.LEFT else state.phase = Phase.LEAVING
    }

    private fun merge(rows: List<VersionedRow>, spread: Boolean) {
        rows.filter { RowKeys.isShared(it.key) }.forEach { row ->
            if (state.rows.merge(row) && spread) state.fresh += row
        }
    }

    private companion object {
        const val IDLE_MILLISECONDS = 250L
    }
}
