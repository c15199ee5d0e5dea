/*
 * Plans the moves of shards between servers. The plan is a pure function of the rows, so that every instance computes
 * the same one; each instance executes only the moves away from servers whose gates it holds.
 */
package rhubarbspool.placement

import rhubarbspool.model.ServerName
import rhubarbspool.table.ShardEntry

/** A shard and the server it should move to. */
data class PlannedMove(val shard: ShardEntry, val target: ServerName)

/** Plans moves for the shards of one service. */
object PlacementPlan {
    /**
     * Moves that first empty every server outside [eligible] and then balance the others with as few moves as
     * possible. Deterministic for equal arguments in any order. No moves if [eligible] is empty.
     */
    fun moves(shards: Collection<ShardEntry>, eligible: Set<ServerName>): List<PlannedMove> {
        if (eligible.isEmpty()) return emptyList()
        val load = eligible.associateWithTo(sortedMapOf()) { 0 }
        val misplaced = shards.filter { it.shard.server !in eligible }.sortedBy { it.key }
        shards.forEach { entry -> load.computeIfPresent(entry.shard.server) { _, count -> count + 1 } }
        val moves = misplaced.map { entry -> PlannedMove(entry, leastLoaded(load, entry.key).also { add(load, it) }) }
        return moves + balancing(shards, eligible, load)
    }

    private fun balancing(
        shards: Collection<ShardEntry>,
        eligible: Set<ServerName>,
        load: MutableMap<ServerName, Int>,
    ): List<PlannedMove> {
        val placed = shards.filter { it.shard.server in eligible }
            .groupBy { it.shard.server }
            .mapValues { (_, entries) -> entries.sortedBy { it.key }.toMutableList() }
        val moves = mutableListOf<PlannedMove>()
        while (true) {
            val mostLoaded = load.maxBy { it.value }
            val leastLoaded = load.minBy { it.value }
            val entry = placed[mostLoaded.key]?.removeLastOrNull()
            if (mostLoaded.value - leastLoaded.value <= 1 || entry == null) return moves
            load[mostLoaded.key] = mostLoaded.value - 1
            add(load, leastLoaded.key)
            moves += PlannedMove(entry, leastLoaded.key)
        }
    }

    private fun leastLoaded(load: Map<ServerName, Int>, subject: String): ServerName {
        val least = load.values.min()
        return Rendezvous.order(subject, load.filterValues { it == least }.keys) { it.text }.first()
    }

    private fun add(load: MutableMap<ServerName, Int>, server: ServerName) {
        load[server] = load.getValue(server) + 1
    }
}
