/*
 * Creates a service's shards and moves them. Only the holder of the owning server's gate moves a shard: it has
 * its router stop sending for the shard and settle what was sent, and then writes the new owner. So release
 * always comes before grant, and no third party needs to be trusted with it.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.placement.PlacementPlan
import rhubarbspool.placement.PlannedMove
import rhubarbspool.placement.Rendezvous
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.GateEntry
import rhubarbspool.table.RowKeys
import rhubarbspool.table.ShardBody
import rhubarbspool.table.ShardEntry
import rhubarbspool.table.Write

/** Creates, moves, splits and merges shards. */
internal class ShardSystem : ControlSystem {
    private val plans = HashMap<String, List<PlannedMove>>()
    private var plannedAt = -1L

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED && state.phase != Phase.LEAVING) return emptyList()
        dropStaleMoves(state)
        plan(state, now)
        return create(state, now) + finishMoves(state, now)
    }

    private fun create(state: ControlState, now: Now): List<ControlEffect> =
        state.configurations.values.map { it.configuration }.flatMap { configuration ->
            val missing = missingShards(state, configuration)
            if (missing.isEmpty() || !isCreator(state, configuration)) {
                emptyList()
            } else {
                createBatch(state, configuration, missing.take(BATCH), now)
            }
        }

    private fun missingShards(state: ControlState, configuration: ServiceConfiguration): List<Int> =
        (0 until configuration.shards).filter { state.rows.row(RowKeys.shard(configuration.service, it)) == null }

    private fun isCreator(state: ControlState, configuration: ServiceConfiguration): Boolean =
        Rendezvous.order(configuration.service.text, state.activeMembers()) { it.member.instance.text }
            .firstOrNull()?.member?.instance == state.identity.instance

    private fun createBatch(
        state: ControlState,
        configuration: ServiceConfiguration,
        indexes: List<Int>,
        now: Now,
    ): List<ControlEffect> {
        val eligible = state.eligibleServers(configuration).toList()
        if (eligible.isEmpty()) return emptyList()
        val keys = indexes.map { RowKeys.shard(configuration.service, it) }
        val writes = indexes.map { index ->
            val owner = eligible[index % eligible.size]
            Write(RowKeys.shard(configuration.service, index), ShardBody(configuration.service, index, owner))
        }
        val range = "${configuration.service} ${indexes.first()}..${indexes.last()}"
        val audit = state.audit("create-shards", range, "none", "${eligible.size} servers", now, "new service")
        val conditions = keys.map { Condition(it, 0) }
        return state.submit(Change("create/${configuration.service}", conditions, writes, audit), now)
    }

    private fun dropStaleMoves(state: ControlState) {
        state.moves.entries.removeAll { (key, move) ->
            val expected = if (move.split == null) move.version else state.rows.version(key)
            val gate = state.rows.gates[move.source]
            gate == null || !state.isOwn(gate) || state.rows.version(key) != expected ||
                (move.split != null && state.rows.body<ShardBody>(key) != null)
        }
    }

    private fun plan(state: ControlState, now: Now) {
        if (plannedAt != state.rows.changes || now.monotonic % REPLAN_MILLISECONDS == 0L) {
            plannedAt = state.rows.changes
            plans.clear()
        }
        state.ownGates().forEach { gate ->
            val configuration = state.configurations[gate.gate.service]?.configuration ?: return@forEach
            val eligible = state.eligibleServers(configuration)
            val moves = plans.getOrPut("${configuration.service}$eligible") {
                PlacementPlan.moves(state.rows.shardsOf(configuration.service), eligible)
            }.filter { it.shard.shard.server == gate.gate.server }
            adopt(state, gate, moves, urgent = gate.gate.server !in eligible, now)
            mergeColdKeys(state, gate, now)
        }
    }

    private fun adopt(state: ControlState, gate: GateEntry, moves: List<PlannedMove>, urgent: Boolean, now: Now) {
        val server = gate.gate.server
        val wanted = moves.associateBy { it.shard.key }
        state.moves.entries.removeAll { (key, move) ->
            val optional = move.source == server && !move.drained && move.split == null && move.target != null
            optional && key !in wanted
        }
        if (urgent && state.reachable[server] == false && !outlasted(state, server, now)) return
        val open = state.moves.values.count { it.source == server }
        val room = if (urgent) Int.MAX_VALUE else EVENING_MOVES - open
        moves.filter { it.shard.key !in state.moves }.take(maxOf(0, room)).forEach { move ->
            state.moves[move.shard.key] = ShardMove(++state.lastOrder, move.shard.version, server, move.target)
        }
    }

    private fun outlasted(state: ControlState, server: ServerName, now: Now): Boolean =
        state.unreachableSince[server]?.let { now.monotonic - it >= ServerSystem.UNREACHABLE_MILLISECONDS } ?: true

    private fun mergeColdKeys(state: ControlState, gate: GateEntry, now: Now) {
        state.rows.shardsOf(gate.gate.server).filter { it.shard.hotKey != null && it.key !in state.moves }.forEach {
            val hotAt = state.hotSince.getOrPut(it.key) { now.monotonic }
            if (now.monotonic - hotAt > COLD_MILLISECONDS) {
                state.moves[it.key] = ShardMove(++state.lastOrder, it.version, gate.gate.server, null)
            }
        }
    }

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
        val gateKey = RowKeys.gate(source)
        val conditions = moves.flatMap { (key, move) -> conditions(state, key, move) } +
            Condition(gateKey, state.rows.version(gateKey))
        val writes = moves.map { (key, move) -> Write(key, nextBody(state, key, move)) }
        val targets = moves.values.map { "${it.target ?: "range"}" }.distinct().joinToString()
        val audit = state.audit("move-shards", moves.keys.joinToString(), source.text, targets, now, "placement")
        return state.submit(Change("move/$source", conditions, writes, audit), now) { result, _ ->
            if (result !is CommitResult.Unknown) moves.keys.forEach(state.moves::remove)
        }
    }

    private fun conditions(state: ControlState, key: String, move: ShardMove): List<Condition> =
        if (move.split == null) {
            listOf(Condition(key, move.version))
        } else {
            val range = RowKeys.shard(move.split.service, move.split.index)
            listOf(Condition(range, move.version), Condition(key, state.rows.version(key)))
        }

    private fun nextBody(state: ControlState, key: String, move: ShardMove): ShardBody? {
        val target = move.target ?: return null
        if (move.split != null) return move.split
        val old: ShardEntry? = state.rows.shardsOf(move.source).firstOrNull { it.key == key }
        return old?.shard?.let { it.copy(server = target, epoch = it.epoch + 1) }
    }

    companion object {
        private const val BATCH = 100
        private const val EVENING_MOVES = 2
        private const val REPLAN_MILLISECONDS = 1_000L
        private const val COLD_MILLISECONDS = 120_000L

        /** Starts to split the hot [key] out of the range that [source] owns. */
        fun split(
            state: ControlState,
            configuration: ServiceConfiguration,
            key: String,
            source: ServerName,
            index: Int
        ) {
            val rowKey = RowKeys.hotShard(configuration.service, key)
            val range = state.rows.row(RowKeys.shard(configuration.service, index)) ?: return
            val owns = (range.body as? ShardBody)?.server == source
            val taken = rowKey in state.moves || range.key in state.moves || state.rows.body<ShardBody>(rowKey) != null
            val gate = state.rows.gates[source]
            if (!owns || taken || gate == null || !state.isOwn(gate)) return
            val target = (state.eligibleServers(configuration) - source)
                .minByOrNull { state.rows.shardsOf(it).size } ?: return
            val body = ShardBody(configuration.service, index, target, hotKey = key)
            state.moves[rowKey] = ShardMove(++state.lastOrder, range.version, source, target, split = body)
        }
    }
}
