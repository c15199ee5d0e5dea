/*
 * Chooses owners. Ranges next to each other go to different servers.
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
        val rangeCounts = rangeCounts(current, candidates, ranges.toSet())
        val result = LinkedHashMap<Int, Owner>()
        ranges.sorted().forEach { range ->
            val neighbours = (1..NEIGHBOUR_DISTANCE)
                .mapNotNull { result[range - it] ?: current.getOrNull(range - it) }
                .toSet()
            val preferred = candidates.filter { it.owner !in neighbours }.ifEmpty { candidates }
            val chosen = preferred.minWith(
                compareBy({ rangeCounts.getValue(it.owner) / it.weight }, { it.owner.server.text.hashCode() }),
            )
            rangeCounts.merge(chosen.owner, 1, Int::plus)
            result[range] = chosen.owner
        }
        return result
    }

    private fun rangeCounts(
        current: List<Owner?>,
        candidates: List<Candidate>,
        excluded: Set<Int>,
    ): HashMap<Owner, Int> {
        val rangeCounts = HashMap<Owner, Int>()
        candidates.forEach { rangeCounts[it.owner] = 0 }
        current.forEachIndexed { range, owner ->
            if (owner != null && range !in excluded) rangeCounts.computeIfPresent(owner) { _, count -> count + 1 }
        }
        return rangeCounts
    }

    private const val NEIGHBOUR_DISTANCE = 4
}
