/*
 * Moves ranges from busy servers to idle ones, the most effective move first. A hot key, a slow server or a limit that
 * a server names makes an owner busy. A server that has just joined gets its share of ranges even if no server is busy.
 * A range with more load than one server should carry is split first, so that several servers can share neighbouring
 * busy keys.
 */
package rhubarbspool.ownership

/** Plans moves that balance load. */
object LoadPlan {
    /**
     * Returns at most [limit] moves among [candidates], as new owners by range; only ranges that [mayMove] are moved.
     */
    fun moves(
        document: OwnershipDocument,
        candidates: List<Candidate>,
        load: KeyLoad,
        limit: Int,
        mayMove: (Int) -> Boolean,
    ): Map<Int, Owner> {
        if (candidates.size < 2) return emptyMap()
        val distribution = Distribution(document, candidates, load)
        val moves = LinkedHashMap<Int, Owner>()
        while (moves.size < limit) {
            val (range, target) = distribution.nextMove { it !in moves && mayMove(it) } ?: break
            moves[range] = target
        }
        return moves
    }

    /**
     * Keys at which to split the hot ranges of [document] that [maySplit], so that each part has about the same load;
     * a single key is not divisible.
     */
    fun cuts(
        document: OwnershipDocument,
        candidates: List<Candidate>,
        load: KeyLoad,
        maySplit: (Int) -> Boolean,
    ): List<Int> {
        if (candidates.size < 2 || document.ranges >= MAXIMUM_RANGES) return emptyList()
        val serverRate = candidates.map { it.weight }.average() * MILLISECONDS_PER_SECOND / load.overallMean
        val rates = load.ratesOf(document)
        val hot = rates.indices.filter { rates[it] > HOT_RANGE_SHARE * serverRate && maySplit(it) }
        return hot.flatMap { cutsOf(document.keys(it), load, PART_SHARE * serverRate) }
            .take(MAXIMUM_RANGES - document.ranges)
    }

    /** Keys at which [keys] is split into parts with at most [partRate] requests per second, or one key, each. */
    private fun cutsOf(keys: KeyRange, load: KeyLoad, partRate: Double): List<Int> {
        val cuts = ArrayList<Int>()
        var partSum = 0.0
        load.ratesIn(keys).forEach { (key, rate) ->
            if (partSum + rate > partRate && key > keys.first) {
                cuts += key
                partSum = 0.0
            }
            partSum += rate
        }
        return cuts
    }

    private class Server(val candidate: Candidate, meanMilliseconds: Double, limit: Double?) {
        private val slotRate = candidate.weight * MILLISECONDS_PER_SECOND / meanMilliseconds
        private val maximumRate = if (limit == null) slotRate else minOf(slotRate, maxOf(limit, MINIMUM_LIMIT))
        val ranges = ArrayList<Int>()
        var utilization = 0.0

        /** Fraction of what the server can take that a range with [rate] requests per second uses. */
        fun utilizationOf(rate: Double): Double = (rate + BASE_RATE) / maximumRate
    }

    private class Distribution(document: OwnershipDocument, candidates: List<Candidate>, load: KeyLoad) {
        private val rates = load.ratesOf(document)
        private val servers = candidates.map { candidate ->
            val server = candidate.owner.server
            Server(candidate, load.meanMilliseconds(server), load.limitOf(server))
        }
        private val fairRangeCount = document.ranges.toDouble() / candidates.size

        init {
            val byOwner = servers.associateBy { it.candidate.owner }
            document.ownerOf.indices.forEach { range ->
                byOwner[document.owner(range)]?.let { server ->
                    server.ranges += range
                    server.utilization += server.utilizationOf(rates[range])
                }
            }
        }

        /** Applies and returns the best move away from one of the busiest servers; null if none is worth it. */
        fun nextMove(mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val idlest = servers.minBy { it.utilization }
            val hasNewServer =
                idlest.ranges.size < fairRangeCount * NEW_SERVER_SHARE * idlest.candidate.weight / USUAL_WEIGHT
            return servers.sortedByDescending { it.utilization }.take(SOURCES_TRIED)
                .filter { source -> source !== idlest && (source.utilization >= BUSY_UTILIZATION || hasNewServer) }
                .firstNotNullOfOrNull { source -> moveFrom(source, minimumGain(source, hasNewServer), mayMove) }
        }

        /** The hottest range may gain more at the fastest server than at the idlest one. */
        private fun moveFrom(source: Server, gain: Double, mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val ranges = source.ranges.filter(mayMove)
            val hottest = ranges.maxByOrNull(rates::get) ?: return null
            val idlest = servers.minBy { it.utilization }
            val bestForHottest = servers.filter { it !== source }
                .minBy { it.utilization + it.utilizationOf(rates[hottest]) }
            val mostHelpful = ranges.minBy { peakAfter(source, idlest, it) }
            val (range, target) = listOf(mostHelpful to idlest, hottest to bestForHottest)
                .minBy { (range, target) -> peakAfter(source, target, range) }
            val helps = target !== source && peakAfter(source, target, range) < source.utilization - gain
            return if (helps) applyMove(range, source, target) else null
        }

        private fun minimumGain(source: Server, hasNewServer: Boolean): Double =
            if (hasNewServer || source.utilization > CROWDED_UTILIZATION) 0.0 else MINIMUM_GAIN

        private fun applyMove(range: Int, source: Server, target: Server): Pair<Int, Owner> {
            val rate = rates[range]
            source.ranges -= range
            source.utilization -= source.utilizationOf(rate)
            target.ranges += range
            target.utilization += target.utilizationOf(rate)
            return range to target.candidate.owner
        }

        private fun peakAfter(source: Server, target: Server, range: Int): Double {
            val rate = rates[range]
            return maxOf(
                source.utilization - source.utilizationOf(rate),
                target.utilization + target.utilizationOf(rate)
            )
        }
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Weight of a candidate with the usual two slots. */
    private const val USUAL_WEIGHT = 2.0

    /** Rate added to that of every range, so that ranges are spread evenly before there is load. */
    private const val BASE_RATE = 0.01

    /** Keeps the utilization of a server finite that takes no requests. */
    private const val MINIMUM_LIMIT = 0.25

    /** Below this utilization requests rarely wait for a slot. */
    private const val BUSY_UTILIZATION = 0.35

    /** Above this utilization a server is relieved by any move, however small the gain. */
    private const val CROWDED_UTILIZATION = 0.7

    /** A server with less than this fraction of its fair number of ranges counts as newly joined. */
    private const val NEW_SERVER_SHARE = 0.5

    /** A move briefly interrupts service of the range and costs a write; a smaller gain is not worth it. */
    private const val MINIMUM_GAIN = 0.01
    private const val SOURCES_TRIED = 3

    /** A range that occupies more than this share of a usual server's slots is hot. */
    private const val HOT_RANGE_SHARE = 0.5

    /** Share of a usual server's slots that the parts of a hot range occupy. */
    private const val PART_SHARE = 0.12

    /** Ranges are not split beyond this number: each costs calls to renew it and a place in the document. */
    private const val MAXIMUM_RANGES = 2_048
}
