/*
 * Moves ranges from busy servers to idle ones. A hot key or a slow server makes its owner busy; what can be moved away
 * is moved, the range that helps most first. A server that has joined gets its part also when nobody is busy.
 */
package rhubarbspool.ownership

/** Plans moves by load. */
object LoadPlan {
    /** Moves, at most [most], among [candidates]; only ranges that [mayMove] are moved. */
    fun moves(
        document: OwnershipDocument,
        candidates: List<Candidate>,
        load: RangeLoad,
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

    private class Server(val candidate: Candidate, val meanMilliseconds: Double) {
        val ranges = ArrayList<Int>()
        var utilization = 0.0

        /** Part of the server's slots that a range with [rate] requests a second takes. */
        fun utilizationOf(rate: Double): Double =
            (rate + BASE_RATE) * meanMilliseconds / MILLISECONDS_PER_SECOND / candidate.weight
    }

    private class Distribution(document: OwnershipDocument, candidates: List<Candidate>, private val load: RangeLoad) {
        private val servers = candidates.map { Server(it, load.meanMilliseconds(it.owner.server)) }
        private val fairRangeCount = document.ranges.toDouble() / candidates.size

        init {
            val byOwner = servers.associateBy { it.candidate.owner }
            document.ownerOf.indices.forEach { range ->
                byOwner[document.owner(range)]?.let { server ->
                    server.ranges += range
                    server.utilization += server.utilizationOf(load.rate(range))
                }
            }
        }

        /** The move that lowers the busiest server most; null when none is worth it. It is applied at once. */
        fun nextMove(mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val idlest = servers.minBy { it.utilization }
            val hasNewServer =
                idlest.ranges.size < fairRangeCount * NEW_SERVER_SHARE * idlest.candidate.weight / USUAL_WEIGHT
            return servers.sortedByDescending { it.utilization }.take(SOURCES_TRIED)
                .filter { source -> source !== idlest && (source.utilization >= BUSY_UTILIZATION || hasNewServer) }
                .firstNotNullOfOrNull { source -> moveFrom(source, minimumGain(source, hasNewServer), mayMove) }
        }

        /** A hot range may be best off at the fastest server, though that is not the idlest. */
        private fun moveFrom(source: Server, gain: Double, mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val ranges = source.ranges.filter(mayMove)
            val hottest = ranges.maxByOrNull(load::rate) ?: return null
            val idlest = servers.minBy { it.utilization }
            val bestForHottest = servers.filter { it !== source }
                .minBy { it.utilization + it.utilizationOf(load.rate(hottest)) }
            val mostHelpful = ranges.minBy { peakAfter(source, idlest, it) }
            val (range, target) = listOf(mostHelpful to idlest, hottest to bestForHottest)
                .minBy { (range, target) -> peakAfter(source, target, range) }
            val helps = target !== source && peakAfter(source, target, range) < source.utilization - gain
            return if (helps) applyMove(range, source, target) else null
        }

        private fun minimumGain(source: Server, hasNewServer: Boolean): Double =
            if (hasNewServer || source.utilization > CROWDED_UTILIZATION) 0.0 else MINIMUM_GAIN

        private fun applyMove(range: Int, source: Server, target: Server): Pair<Int, Owner> {
            val rate = load.rate(range)
            source.ranges -= range
            source.utilization -= source.utilizationOf(rate)
            target.ranges += range
            target.utilization += target.utilizationOf(rate)
            return range to target.candidate.owner
        }

        private fun peakAfter(source: Server, target: Server, range: Int): Double {
            val rate = load.rate(range)
            return maxOf(
                source.utilization - source.utilizationOf(rate),
                target.utilization + target.utilizationOf(rate)
            )
        }
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Weight of a candidate with two slots, the usual number. */
    private const val USUAL_WEIGHT = 2.0

    /** Rate that a range without requests counts for, so that ranges are spread before there is load. */
    private const val BASE_RATE = 0.01

    /** Below this part of its slots in use a server seldom makes anybody wait. */
    private const val BUSY_UTILIZATION = 0.35

    /** Above this part of its slots in use a server is freed of all that can go, however little it helps. */
    private const val CROWDED_UTILIZATION = 0.7

    /** A server with less than this part of its fair number of ranges has just joined. */
    private const val NEW_SERVER_SHARE = 0.5

    /** A move costs a moment without service of the range and a write; less gain is not worth it. */
    private const val MINIMUM_GAIN = 0.01
    private const val SOURCES_TRIED = 3
}
