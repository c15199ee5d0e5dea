/*
 * Which shards should move where. A pure function of the rows, so that every instance computes the same plan;
 * each carries out only the moves away from servers whose gates it holds.
 */
package rhubarbspool.placement

import rhubarbspool.model.ServerName
import rhubarbspool.table.ShardEntry

/** A shard and the server it should move to. */
data class PlannedMove(val shard: ShardEntry, val target: ServerName)

/** Plans moves of one service's shards. */
object PlacementPlan {
    /**
     * Moves that empty every server outside [eligible] and then even out the rest with as few moves as
     * possible. Deterministic for equal arguments, whatever their order. No moves when [eligible] is empty.
     */
    fun moves(shards: Collection<ShardEntry>, eligible: Set<ServerName>): List<PlannedMove> {
        if (eligible.isEmpty()) return emptyList()
        val load = eligible.associateWithTo(sortedMapOf()) { 0 }
        val stranded = shards.filter { it.shard.server !in eligible }.sortedBy { it.key }
        shards.forEach { entry -> load.computeIfPresent(entry.shard.server) { _, count -> count + 1 } }
        val moves = stranded.map { entry -> PlannedMove(entry, lightest(load, entry.key).also { add(load, it) }) }
        return moves + balancing(shards, eligible, load)
    }

    private fun balancing(
        shards: Collection<ShardEntry>,
        eligible: Set<ServerName>,
        load: MutableMap<ServerName, Int>,
    ): List<PlannedMove> {
        val settled = shards.filter { it.shard.server in eligible }
            .groupBy { it.shard.server }
            .mapValues { (_, entries) -> entries.sortedBy { it.key }.toMutableList() }
        val moves = mutableListOf<PlannedMove>()
        while (true) {
            val heaviest = load.maxBy { it.value }
            val lightest = load.minBy { it.value }
            val entry = settled[heaviest.key]?.removeLastOrNull()
            if (heaviest.value - lightest.value <= 1 || entry == null) return moves
            load[heaviest.key] = heaviest.value - 1
            add(load, lightest.key)
            moves += PlannedMove(entry, lightest.key)
        }
    }

    private fun lightest(load: Map<ServerName, Int>, subject: String): ServerName {
        val least = load.values.min()
        return Rendezvous.order(subject, load.filterValues { it == least }.keys) { it.text }.first()
    }

    private fun add(load: MutableMap<ServerName, Int>, server: ServerName) {
        load[server] = load.getValue(server) + 1
    }
}
