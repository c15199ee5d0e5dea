/*
 * Assigns one service's ranges to servers: renews grants, and moves ranges away from servers that leave. A range gets a
 * new owner only when its holder has confirmed a release, when the last grant that might reach the holder has expired,
 * or when the holder's incarnation has provably ended. The document is written before the grant is sent.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now

/**
 * Coordinates the ranges of one service from [startedAt], starting with [document]. Not thread-safe.
 *
 * @param isNew whether these ranges have never been granted; otherwise grants of an earlier coordinator may be in
 * flight.
 */
class OwnershipCoordinator(document: OwnershipDocument, startedAt: Long, isNew: Boolean) {
    /** The last document that was written. */
    var document: OwnershipDocument = document
        private set

    /** Load of the ranges as reported by the instances. */
    val load = KeyLoad()
    private var holds = HoldTable(document.ranges, startedAt, isNew)
    private var planner = CallPlanner(holds)
    private var changesInFlight: Map<Int, Owner>? = null
    private var writeStartedAt = startedAt - WRITE_INTERVAL_MILLISECONDS
    private var rebalancedAt = startedAt
    private var lastServerCount = 0
    private var serversChangedAt = startedAt

    /** Whether the table may have lost the document, which is then written again. */
    var mustRewrite: Boolean = false
    private val isUnassigned: Boolean get() = document.owners.isEmpty()

    /** Returns the effects to execute at [now], including at most [maxCalls] calls to servers. */
    fun tick(view: OwnershipView, maxCalls: Int, now: Now): List<OwnershipEffect> {
        val candidates = view.eligible.map { OwnershipPlan.candidateOf(it, now.monotonic) }
        val owners = candidates.mapTo(HashSet()) { it.owner }
        rebalance(candidates, owners, now.monotonic)
        val write = write(view, candidates, owners, now)
        val inputs = CallInputs(document, view, owners, now.monotonic)
        return write + planner.plan(inputs, changesInFlight?.keys.orEmpty(), maxCalls)
    }

    /** Records the result at [now] of a grant that was sent at [sentAt]; ignored if the range has been reassigned. */
    fun onGrant(grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        val range = document.rangeOf(grant.keys.first)
        if (isCurrent(range, grant.keys, grant.owner, grant.fence)) holds.onGrant(range, grant, result, sentAt, now)
    }

    /**
     * Records the result of a release; [handover] is the holder's handover text. Ignored if the range has been
     * reassigned.
     */
    fun onRelease(release: OwnershipEffect.Release, result: OrderResult, handover: String?) {
        val range = document.rangeOf(release.keys.first)
        if (isCurrent(range, release.keys, release.owner, release.fence)) holds.onRelease(range, result, handover)
    }

    /** Records that the document of the last [OwnershipEffect.Write] was written. */
    fun onWritten(now: Long) {
        val changes = changesInFlight.orEmpty()
        changesInFlight = null
        document = document.with(changes)
        changes.keys.forEach { holds[it].reassign(now) }
    }

    private fun isCurrent(range: Int, keys: KeyRange, owner: Owner, fence: Long): Boolean =
        document.keys(range) == keys && document.owner(range) == owner && fence / 2 == document.fences[range] / 2

    /** Splits hot ranges and chooses ranges to move for load, unless earlier moves are unfinished. */
    private fun rebalance(candidates: List<Candidate>, owners: Set<Owner>, now: Long) {
        if (now - rebalancedAt < REBALANCE_INTERVAL_MILLISECONDS) return
        rebalancedAt = now
        load.decay(now)
        val isMoving = document.ownerOf.indices.any { holds[it].target != null || document.owner(it) !in owners }
        if (isMoving || changesInFlight != null) return
        val cuts = LoadPlan.cuts(document, candidates, load) { holds[it].isSplittable }
        if (cuts.isNotEmpty()) {
            val next = document.splitAt(cuts)
            holds.split(next.starts.map(document::rangeOf))
            document = next
        }
        val moves = LoadPlan.moves(document, candidates, load, MAX_REBALANCE_MOVES) {
            now - holds[it].movedAt > MOVE_COOLDOWN_MILLISECONDS
        }
        moves.forEach { (range, owner) -> holds[range].target = owner }
    }

    /** Chooses the number of ranges before the first assignment; later, ranges are only split. */
    private fun partition(servers: Int, now: Long) {
        val ranges = OwnershipPlan.rangeCount(servers)
        document = OwnershipDocument.empty(ranges, document.fences.max())
            .copy(coordinator = document.coordinator, revision = document.revision)
        holds = HoldTable(ranges, now, isNew = true)
        planner = CallPlanner(holds)
    }

    private fun write(
        view: OwnershipView,
        candidates: List<Candidate>,
        owners: Set<Owner>,
        now: Now,
    ): List<OwnershipEffect> {
        val isFree =
            changesInFlight == null && now.monotonic - writeStartedAt >= WRITE_INTERVAL_MILLISECONDS
        val mayWrite = candidates.isNotEmpty() && haveServersSettled(view, now.monotonic) && isFree
        if (mayWrite && isUnassigned) partition(candidates.size, now.monotonic)
        val reassignable =
            if (mayWrite) document.ownerOf.indices.filter { isReassignable(it, view, owners, now) } else emptyList()
        if (reassignable.isEmpty() && !(mustRewrite && isFree)) return emptyList()
        mustRewrite = false
        val targeted = reassignable
            .mapNotNull { range -> holds[range].target?.takeIf { it in owners }?.let { range to it } }
            .toMap()
        val current = document.ownerOf.indices.map(document::owner)
        val changes = OwnershipPlan.assign(reassignable - targeted.keys, current, candidates) + targeted
        changesInFlight = changes
        writeStartedAt = now.monotonic
        return listOf(OwnershipEffect.Write(document.with(changes)))
    }

    private fun isReassignable(range: Int, view: OwnershipView, owners: Set<Owner>, now: Now): Boolean {
        val owner = document.owner(range) ?: return true
        val target = holds[range].target
        return holds.isReassignable(range, owner, owner in owners && (target == null || target !in owners), view, now)
    }

    /** Delays the first assignment until no more servers are joining, since moving ranges later interrupts service. */
    private fun haveServersSettled(view: OwnershipView, now: Long): Boolean {
        if (view.servers.size != lastServerCount) {
            lastServerCount = view.servers.size
            serversChangedAt = now
        }
        return !isUnassigned || now - serversChangedAt > SERVERS_SETTLE_MILLISECONDS
    }

    private companion object {
        /** Entries of servers that start together appear within about a second of each other. */
        const val SERVERS_SETTLE_MILLISECONDS = 1_200L

        /** Ranges that become reassignable within this interval share one write. */
        const val WRITE_INTERVAL_MILLISECONDS = 80L

        /** Interval of rebalancing, about the interval of load reports. */
        const val REBALANCE_INTERVAL_MILLISECONDS = 250L
        const val MAX_REBALANCE_MOVES = 48

        /**
         * Minimum time between two moves of a range, so that its load at the new owner is visible before the next move.
         */
        const val MOVE_COOLDOWN_MILLISECONDS = 1_500L
    }
}
