/*
 * Chooses owners. Ranges next to each other go to different servers; a move happens only where a server must give
 * its ranges up, or where shares differ enough to matter.
 */
package rhubarbspool.ownership

import rhubarbspool.traffic.BackendEntry

/** A server that may own ranges; [weight] is its share relative to others. */
data class Candidate(val owner: Owner, val weight: Double)

/** Plans owners of ranges. */
object OwnershipPlan {
    /** A cold server carries only a part of its load. */
    const val COLD_WEIGHT: Double = 0.5

    /** [entry] as an owner. */
    fun ownerOf(entry: BackendEntry) = Owner(entry.server, entry.bornWall, entry.address)

    /** A new owner for each of [ranges], where [current] are the owners of all ranges. */
    fun assign(ranges: Collection<Int>, current: List<Owner?>, candidates: List<Candidate>): Map<Int, Owner> {
        if (candidates.isEmpty()) return emptyMap()
        val shares = shares(current, candidates, ranges.toSet())
        val result = LinkedHashMap<Int, Owner>()
        ranges.sorted().forEach { range ->
            val neighbours = (1..SPREAD).mapNotNull { result[range - it] ?: current.getOrNull(range - it) }.toSet()
            val apart = candidates.filter { it.owner !in neighbours }.ifEmpty { candidates }
            val chosen = apart.minWith(
                compareBy({ shares.getValue(it.owner) / it.weight }, { it.owner.server.text.hashCode() }),
            )
            shares.merge(chosen.owner, 1, Int::plus)
            result[range] = chosen.owner
        }
        return result
    }

    /** Moves, at most [most], that even out shares where the heaviest and the lightest differ too much. */
    fun balance(current: List<Owner?>, candidates: List<Candidate>, most: Int): Map<Int, Owner> {
        if (candidates.size < 2) return emptyMap()
        val shares = shares(current, candidates, emptySet())
        val byOwner = current.indices.groupBy { current[it] }.mapValues { it.value.toMutableList() }
        val fair = shares.values.sum() / candidates.sumOf { it.weight }
        val moves = LinkedHashMap<Int, Owner>()
        while (moves.size < most) {
            val heavy = candidates.maxBy { shares.getValue(it.owner) / it.weight }
            val light = candidates.minBy { shares.getValue(it.owner) / it.weight }
            val gap = shares.getValue(heavy.owner) / heavy.weight - shares.getValue(light.owner) / light.weight
            val range = byOwner[heavy.owner]?.removeLastOrNull()
            if (gap <= maxOf(SMALLEST_GAP, fair * TOLERATED_SHARE) || range == null) break
            shares.merge(heavy.owner, -1, Int::plus)
            shares.merge(light.owner, 1, Int::plus)
            moves[range] = light.owner
        }
        return moves
    }

    private fun shares(current: List<Owner?>, candidates: List<Candidate>, without: Set<Int>): HashMap<Owner, Int> {
        val shares = HashMap<Owner, Int>()
        candidates.forEach { shares[it.owner] = 0 }
        current.forEachIndexed { range, owner ->
            if (owner != null && range !in without) shares.computeIfPresent(owner) { _, count -> count + 1 }
        }
        return shares
    }

    private const val SPREAD = 4
    private const val SMALLEST_GAP = 2.0
    private const val TOLERATED_SHARE = 0.25
}
