/*
 * Moves shards between servers. Only the holder of the owning server's gate moves a shard: it orders its router to stop
 * sending for the shard, waits for the requests in flight, and then writes the new owner. So release always comes
 * before grant, without relying on a third party.
 *
 * Planning 64,000 shards takes 150 ms, so plans are cached, one for each set of eligible servers.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.placement.PlacementPlan
import rhubarbspool.placement.PlannedMove
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.GateEntry
import rhubarbspool.table.RowKeys
import rhubarbspool.table.ShardBody
import rhubarbspool.table.Write
import rhubarbspool.table.body
import rhubarbspool.table.exists

/** Plans and executes moves away from the servers whose gates this instance holds. */
internal class ShardMoveSystem : ControlSystem {
    private val plans = HashMap<String, List<PlannedMove>>()
    private var plannedAtChange = -1L
    private var plannedAt = Long.MIN_VALUE / 2

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED && state.phase != Phase.LEAVING) return emptyList()
        dropStaleMoves(state)
        if (plannedAtChange != state.rows.changes && now.monotonic - plannedAt >= PLAN_LIFETIME_MILLISECONDS) {
            plannedAtChange = state.rows.changes
            plannedAt = now.monotonic
            plans.clear()
        }
        state.ownGates().forEach { planMoves(state, it, now) }
        return finishMoves(state, now)
    }

    private fun dropStaleMoves(state: ControlState) = state.moves.entries.removeAll { (key, move) ->
        val gate = state.rows.gates[move.source]
        val lost = gate == null || !state.isOwn(gate)
        val superseded = if (move.split == null) state.rows.version(key) != move.version else state.rows.exists(key)
        lost || superseded
    }

    private fun planMoves(state: ControlState, gate: GateEntry, now: Now) {
        val configuration = state.configurations[gate.gate.service]?.configuration ?: return
        val eligible = state.eligibleServers(configuration)
        val moves = plans.getOrPut("${configuration.service}$eligible") {
            PlacementPlan.moves(state.rows.shardsOf(configuration.service), eligible)
        }
        startMoves(state, gate.gate.server, moves.filter { it.shard.shard.server == gate.gate.server }, eligible, now)
    }

    private fun startMoves(
        state: ControlState,
        server: ServerName,
        moves: List<PlannedMove>,
        eligible: Set<ServerName>,
        now: Now,
    ) {
        val plannedKeys = moves.mapTo(HashSet()) { it.shard.key }
        state.moves.entries.removeAll { (key, move) -> move.source == server && move.isOptional && key !in plannedKeys }
        val urgent = server !in eligible
        val deferred = urgent && state.reachable[server] == false && !isOutageConfirmed(state, server, now)
        val open = state.moves.values.count { it.source == server }
        val capacity = when {
            urgent -> Int.MAX_VALUE
            state.isTableResponsive(now) -> maxOf(0, MAXIMUM_BALANCING_MOVES - open)
            else -> 0
        }
        moves.filter { !deferred && canStart(state, it) }.take(capacity).forEach { move ->
            state.moves[move.shard.key] = ShardMove(++state.lastOrderNumber, move.shard.version, server, move.target)
        }
    }

    /** Whether [move] has not started and its shard is unchanged since the move was planned. */
    private fun canStart(state: ControlState, move: PlannedMove): Boolean =
        move.shard.key !in state.moves && state.rows.version(move.shard.key) == move.shard.version

    private fun isOutageConfirmed(state: ControlState, server: ServerName, now: Now): Boolean =
        state.unreachableSince[server]
            ?.let { now.monotonic - it >= ServerStatusSystem.UNREACHABLE_MILLISECONDS } ?: true

    private fun finishMoves(state: ControlState, now: Now): List<ControlEffect> =
        state.moves.entries.filter { it.value.drained }.groupBy { it.value.source }.flatMap { (source, entries) ->
            commit(state, source, entries.take(BATCH).associate { it.key to it.value }, now)
        }

    private fun commit(
        state: ControlState,
        source: ServerName,
        moves: Map<String, ShardMove>,
        now: Now,
    ): List<ControlEffect> {
        val gateUnchanged = GateRanking.unchangedCondition(state.rows.gates.getValue(source))
        val conditions = moves.flatMap { (key, move) -> conditions(state, key, move) } + gateUnchanged
        val writes = moves.map { (key, move) -> Write(key, bodyAfterMove(state, key, move)) }
        val targets = moves.values.map { "${it.target ?: "range"}" }.distinct().joinToString()
        val audited = AuditedChange("move-shards", moves.keys.joinToString(), source.text, targets, "placement")
        val change = Change("move/$source", conditions, writes, state.audit(audited, now))
        return state.submit(change, now) { result, _ ->
            if (result !is CommitResult.Unknown) moves.keys.forEach(state.moves::remove)
        }
    }

    private fun conditions(state: ControlState, key: String, move: ShardMove): List<Condition> {
        val split = move.split ?: return listOf(Condition(key, move.version))
        val range = RowKeys.shard(split.service, split.index)
        return listOf(Condition(range, move.version), Condition(key, state.rows.version(key)))
    }

    private fun bodyAfterMove(state: ControlState, key: String, move: ShardMove): ShardBody? =
        move.split ?: move.target?.let { target ->
            state.rows.body<ShardBody>(key)?.let { it.copy(server = target, epoch = it.epoch + 1) }
        }

    private companion object {
        const val BATCH = 100
        const val MAXIMUM_BALANCING_MOVES = 2
        const val PLAN_LIFETIME_MILLISECONDS = 500L
    }
}
