/*
 * Assigns ranges to servers by weight. Neighbouring ranges go to different servers where possible.
 */
package rhubarbspool.ownership

import rhubarbspool.traffic.BackendEntry

/** A server that may own ranges; [weight] is its share relative to others. */
data class Candidate(val owner: Owner, val weight: Double)

/** Assigns owners to ranges. */
object OwnershipPlan {
    /** Share of its usual weight that a server gets while it is cold. */
    private const val COLD_WEIGHT: Double = 0.5

    private const val RANGES_PER_SERVER = 4
    private const val MINIMUM_RANGES = 128

    /** Number of ranges in the first document of a service with [servers] servers. */
    fun rangeCount(servers: Int): Int = (servers * RANGES_PER_SERVER).coerceIn(MINIMUM_RANGES, OwnershipDocument.RANGES)

    /** The owner that [entry] describes. */
    fun ownerOf(entry: BackendEntry) = Owner(entry.server, entry.bornWall, entry.address)

    /** The server that [entry] describes, weighted by its slots at [now]. */
    fun candidateOf(entry: BackendEntry, now: Long): Candidate {
        val weight = if (now < entry.coldUntil) COLD_WEIGHT else 1.0
        return Candidate(ownerOf(entry), weight * entry.slots)
    }

    /** Returns a new owner for each of [ranges]; [current] holds the owners of all ranges. Empty without candidates. */
    fun assign(ranges: Collection<Int>, current: List<Owner?>, candidates: List<Candidate>): Map<Int, Owner> {
        if (candidates.isEmpty()) return emptyMap()
        val rangeCounts = rangeCounts(current, candidates, ranges.toSet())
        val result = LinkedHashMap<Int, Owner>()
        ranges.sorted().forEach { range ->
            val neighbours = (1..SPREAD).mapNotNull { result[range - it] ?: current.getOrNull(range - it) }.toSet()
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

    /** A range avoids the owners of this many ranges before it. */
    private const val SPREAD = 4
}
