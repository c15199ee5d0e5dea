/*
 * Keeps the owners of one service's ranges: renews grants, and moves ranges away from servers that leave. A range goes
 * to another server only after its holder answered a release, or once the last grant that might reach the holder has
 * run out, or the holder's life has provably ended. The document is written before the grant.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now
import rhubarbspool.traffic.BackendEntry

/**
 * Coordinates the ranges of one service, from [document] on; takes over at [startedAt]. Not thread-safe.
 *
 * @param isNew whether nobody has ever granted these ranges; otherwise grants of an earlier coordinator may be on
 * their way.
 */
class OwnershipCoordinator(document: OwnershipDocument, startedAt: Long, isNew: Boolean) {
    /** The owners as they were last written. */
    var document: OwnershipDocument = document
        private set

    /** What the instances reported of the ranges' load. */
    val load = RangeLoad(document.ranges)
    private val holds = HoldTable(document.ranges, startedAt, isNew)
    private val planner = CallPlanner(holds)
    private var changesInFlight: Map<Int, Owner>? = null
    private var writeStartedAt = startedAt - WRITE_INTERVAL_MILLISECONDS
    private var rebalancedAt = startedAt
    private var lastServerCount = 0
    private var serversChangedAt = startedAt

    /** Decides at [now] what to do next; at most [calls] calls to servers. */
    fun tick(view: OwnershipView, maxCalls: Int, now: Now): List<OwnershipEffect> {
        val candidates = view.eligible.map { candidate(it, now.monotonic) }
        val owners = candidates.mapTo(HashSet()) { it.owner }
        rebalance(candidates, owners, now.monotonic)
        val write = write(view, candidates, owners, now)
        val inputs = CallInputs(document, view, owners, now.monotonic)
        return write + planner.plan(inputs, changesInFlight?.keys.orEmpty(), maxCalls)
    }

    /** Takes in at [now] the end of a grant that was sent at [sentAt]. */
    fun onGrant(grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        if (isCurrent(grant.range, grant.owner, grant.fence)) holds.onGrant(grant, result, sentAt, now)
    }

    /** Takes in the end of a release; [handover] is what the holder answered. */
    fun onRelease(release: OwnershipEffect.Release, result: OrderResult, handover: String?) {
        if (isCurrent(release.range, release.owner, release.fence)) holds.onRelease(release, result, handover)
    }

    /** Takes in at [now] that the last document was written. */
    fun onWritten(now: Long) {
        val changes = changesInFlight.orEmpty()
        changesInFlight = null
        document = document.with(changes)
        changes.keys.forEach { holds[it].reassign(now) }
    }

    private fun isCurrent(range: Int, owner: Owner, fence: Long): Boolean =
        document.owner(range) == owner && fence / 2 == document.fences[range] / 2

    private fun candidate(entry: BackendEntry, now: Long): Candidate {
        val weight = if (now < entry.coldUntil) OwnershipPlan.COLD_WEIGHT else 1.0
        return Candidate(OwnershipPlan.ownerOf(entry), weight * entry.slots)
    }

    /** Chooses ranges to move for their load; moves that are under way are finished first. */
    private fun rebalance(candidates: List<Candidate>, owners: Set<Owner>, now: Long) {
        if (now - rebalancedAt < REBALANCE_INTERVAL_MILLISECONDS) return
        rebalancedAt = now
        load.decay(now)
        val isMoving = document.ownerOf.indices.any { holds[it].target != null || document.owner(it) !in owners }
        if (isMoving) return
        val moves = LoadPlan.moves(document, candidates, load, MAX_REBALANCE_MOVES) {
            now - holds[it].movedAt > MOVE_COOLDOWN_MILLISECONDS
        }
        moves.forEach { (range, owner) -> holds[range].target = owner }
    }

    private fun write(
        view: OwnershipView,
        candidates: List<Candidate>,
        owners: Set<Owner>,
        now: Now,
    ): List<OwnershipEffect> {
        val mayWrite = changesInFlight == null && candidates.isNotEmpty() && haveServersSettled(view, now.monotonic) &&
            now.monotonic - writeStartedAt >= WRITE_INTERVAL_MILLISECONDS
        val reassignable =
            if (mayWrite) document.ownerOf.indices.filter { isReassignable(it, view, owners, now) } else emptyList()
        if (reassignable.isEmpty()) return emptyList()
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

    /** Before the first assignment the servers that are just starting are waited for: later moves have a price. */
    private fun haveServersSettled(view: OwnershipView, now: Long): Boolean {
        if (view.servers.size != lastServerCount) {
            lastServerCount = view.servers.size
            serversChangedAt = now
        }
        return document.owners.isNotEmpty() || now - serversChangedAt > SERVERS_SETTLE_MILLISECONDS
    }

    private companion object {
        /** Servers that start together are entered within about a second of each other. */
        const val SERVERS_SETTLE_MILLISECONDS = 1_200L

        /** Ranges that become free within this time share one write. */
        const val WRITE_INTERVAL_MILLISECONDS = 80L

        /** Pace of moves for load; load reports come about as often. */
        const val REBALANCE_INTERVAL_MILLISECONDS = 250L
        const val MAX_REBALANCE_MOVES = 16

        /** A range stays where it is for so long, so that its load there shows before it is moved again. */
        const val MOVE_COOLDOWN_MILLISECONDS = 1_500L
    }
}
