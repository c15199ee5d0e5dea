/*
 * Splits hot keys from their ranges: a key that takes a large share of its server's slots gets its own shard on the
 * server with the fewest shards, and is merged back into its range once it is no longer hot.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Now
import rhubarbspool.table.RowKeys
import rhubarbspool.table.ShardBody
import rhubarbspool.table.body
import rhubarbspool.table.exists

/** Splits hot keys from their ranges, and merges them back when they have cooled down. */
internal object HotKeySystem : ControlSystem {
    private const val COOLDOWN_MILLISECONDS = 120_000L

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        state.ownGates().flatMap { state.rows.shardsOf(it.gate.server) }
            .filter { it.shard.hotKey != null && it.key !in state.moves }
            .filter { now.monotonic - state.lastHotAt.getOrPut(it.key) { now.monotonic } > COOLDOWN_MILLISECONDS }
            .forEach { state.moves[it.key] = ShardMove(++state.lastOrderNumber, it.version, it.shard.server, null) }
        return emptyList()
    }

    /** Starts to split [hot] from the range [index], if this instance holds the gate and nothing else moves them. */
    fun startSplit(state: ControlState, configuration: ServiceConfiguration, hot: HotKey, index: Int) {
        val rowKey = RowKeys.hotShard(configuration.service, hot.key)
        val rangeKey = RowKeys.shard(configuration.service, index)
        val owner = state.rows.body<ShardBody>(rangeKey)?.server
        val isOwn = state.rows.gates[hot.server]?.let { state.isOwn(it) } ?: false
        val isMoving = rowKey in state.moves || rangeKey in state.moves || state.rows.exists(rowKey)
        val target = (state.eligibleServers(configuration) - hot.server)
            .minByOrNull { state.rows.shardsOf(it).size }
        val mayMove = owner == hot.server && isOwn && !isMoving
        if (!mayMove || target == null) return
        val body = ShardBody(configuration.service, index, target, hotKey = hot.key)
        val version = state.rows.version(rangeKey)
        state.moves[rowKey] = ShardMove(++state.lastOrderNumber, version, hot.server, target, split = body)
    }
}
