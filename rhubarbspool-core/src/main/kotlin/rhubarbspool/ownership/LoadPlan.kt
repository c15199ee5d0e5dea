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
        most: Int,
        mayMove: (Int) -> Boolean,
    ): Map<Int, Owner> {
        if (candidates.size < 2) return emptyMap()
        val shares = Shares(document, candidates, load)
        val moves = LinkedHashMap<Int, Owner>()
        while (moves.size < most) {
            val (range, target) = shares.best { it !in moves && mayMove(it) } ?: break
            moves[range] = target
        }
        return moves
    }

    private class Server(val candidate: Candidate, val time: Double) {
        val ranges = ArrayList<Int>()
        var busy = 0.0

        /** Part of the server's slots that a range with [rate] requests a second takes. */
        fun part(rate: Double): Double = (rate + REST_RATE) * time / MILLISECONDS_PER_SECOND / candidate.weight
    }

    private class Shares(document: OwnershipDocument, candidates: List<Candidate>, private val load: RangeLoad) {
        private val servers = candidates.map { Server(it, load.time(it.owner.server)) }
        private val fairCount = document.ranges.toDouble() / candidates.size

        init {
            val byOwner = servers.associateBy { it.candidate.owner }
            document.ownerOf.indices.forEach { range ->
                byOwner[document.owner(range)]?.let { server ->
                    server.ranges += range
                    server.busy += server.part(load.rate(range))
                }
            }
        }

        /** The move that lowers the busiest server most; null when none is worth it. It is applied at once. */
        fun best(mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val light = servers.minBy { it.busy }
            val joined = light.ranges.size < fairCount * JOINED_SHARE * light.candidate.weight / USUAL_WEIGHT
            return servers.sortedByDescending { it.busy }.take(TRIED_SERVERS)
                .filter { heavy -> heavy !== light && (heavy.busy >= BUSY || joined) }
                .firstNotNullOfOrNull { heavy -> move(heavy, smallestGain(heavy, joined), mayMove) }
        }

        /** A hot range may be best off at the fastest server, though that is not the idlest. */
        private fun move(heavy: Server, gain: Double, mayMove: (Int) -> Boolean): Pair<Int, Owner>? {
            val ranges = heavy.ranges.filter(mayMove)
            val hottest = ranges.maxByOrNull(load::rate) ?: return null
            val light = servers.minBy { it.busy }
            val forHottest = servers.filter { it !== heavy }.minBy { it.busy + it.part(load.rate(hottest)) }
            val usual = ranges.minBy { after(heavy, light, it) }
            val (range, target) = listOf(usual to light, hottest to forHottest)
                .minBy { (range, target) -> after(heavy, target, range) }
            val helps = target !== heavy && after(heavy, target, range) < heavy.busy - gain
            return if (helps) apply(range, heavy, target) else null
        }

        private fun smallestGain(heavy: Server, joined: Boolean): Double =
            if (joined || heavy.busy > CROWDED) 0.0 else SMALLEST_GAIN

        private fun apply(range: Int, heavy: Server, target: Server): Pair<Int, Owner> {
            val rate = load.rate(range)
            heavy.ranges -= range
            heavy.busy -= heavy.part(rate)
            target.ranges += range
            target.busy += target.part(rate)
            return range to target.candidate.owner
        }

        private fun after(heavy: Server, target: Server, range: Int): Double {
            val rate = load.rate(range)
            return maxOf(heavy.busy - heavy.part(rate), target.busy + target.part(rate))
        }
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Weight of a candidate with two slots, the usual number. */
    private const val USUAL_WEIGHT = 2.0

    /** Rate that a range without requests counts for, so that ranges are spread before there is load. */
    private const val REST_RATE = 0.01

    /** Below this part of its slots in use a server seldom makes anybody wait. */
    private const val BUSY = 0.35

    /** Above this part of its slots in use a server is freed of all that can go, however little it helps. */
    private const val CROWDED = 0.7

    /** A server with less than this part of its fair number of ranges has just joined. */
    private const val JOINED_SHARE = 0.5

    /** A move costs a moment without service of the range and a write; less gain is not worth it. */
    private const val SMALLEST_GAIN = 0.01
    private const val TRIED_SERVERS = 3
}
