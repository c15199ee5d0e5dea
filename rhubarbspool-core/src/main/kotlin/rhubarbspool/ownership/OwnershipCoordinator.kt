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
    private var writing: Map<Int, Owner>? = null
    private var wroteAt = startedAt - WRITE_PAUSE_MILLISECONDS
    private var balancedAt = startedAt
    private var seenServers = 0
    private var joinedAt = startedAt

    /** Decides at [now] what to do next; at most [calls] calls to servers. */
    fun tick(view: OwnershipView, calls: Int, now: Now): List<OwnershipEffect> {
        val candidates = view.eligible.map { candidate(it, now.monotonic) }
        val owners = candidates.mapTo(HashSet()) { it.owner }
        balance(candidates, owners, now.monotonic)
        val write = write(view, candidates, owners, now)
        val inputs = CallInputs(document, view, owners, now.monotonic)
        return write + planner.calls(inputs, writing?.keys.orEmpty(), calls)
    }

    /** Takes in at [now] the end of a grant that was sent at [sentAt]. */
    fun onGrant(grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        if (isCurrent(grant.range, grant.owner, grant.fence)) holds.granted(grant, result, sentAt, now)
    }

    /** Takes in the end of a release; [handover] is what the holder answered. */
    fun onRelease(release: OwnershipEffect.Release, result: OrderResult, handover: String?) {
        if (isCurrent(release.range, release.owner, release.fence)) holds.released(release, result, handover)
    }

    /** Takes in at [now] that the last document was written. */
    fun onWritten(now: Long) {
        val changes = writing.orEmpty()
        writing = null
        document = document.with(changes)
        changes.keys.forEach { holds[it].reassigned(now) }
    }

    private fun isCurrent(range: Int, owner: Owner, fence: Long): Boolean =
        document.owner(range) == owner && fence / 2 == document.fences[range] / 2

    private fun candidate(entry: BackendEntry, now: Long): Candidate {
        val weight = if (now < entry.coldUntil) OwnershipPlan.COLD_WEIGHT else 1.0
        return Candidate(OwnershipPlan.ownerOf(entry), weight * entry.slots)
    }

    /** Chooses ranges to move for their load; moves that are under way are finished first. */
    private fun balance(candidates: List<Candidate>, owners: Set<Owner>, now: Long) {
        if (now - balancedAt < BALANCE_MILLISECONDS) return
        balancedAt = now
        load.fade(now)
        val moving = document.ownerOf.indices.any { holds[it].target != null || document.owner(it) !in owners }
        if (moving) return
        val moves = LoadPlan.moves(document, candidates, load, BALANCE_MOVES) {
            now - holds[it].movedAt > SETTLE_MILLISECONDS
        }
        moves.forEach { (range, owner) -> holds[range].target = owner }
    }

    private fun write(
        view: OwnershipView,
        candidates: List<Candidate>,
        owners: Set<Owner>,
        now: Now,
    ): List<OwnershipEffect> {
        val mayWrite = writing == null && candidates.isNotEmpty() && isComplete(view, now.monotonic) &&
            now.monotonic - wroteAt >= WRITE_PAUSE_MILLISECONDS
        val free = if (mayWrite) document.ownerOf.indices.filter { isFree(it, view, owners, now) } else emptyList()
        if (free.isEmpty()) return emptyList()
        val aimed = free.mapNotNull { range -> holds[range].target?.takeIf { it in owners }?.let { range to it } }
            .toMap()
        val current = document.ownerOf.indices.map(document::owner)
        val changes = OwnershipPlan.assign(free - aimed.keys, current, candidates) + aimed
        writing = changes
        wroteAt = now.monotonic
        return listOf(OwnershipEffect.Write(document.with(changes)))
    }

    private fun isFree(range: Int, view: OwnershipView, owners: Set<Owner>, now: Now): Boolean {
        val owner = document.owner(range) ?: return true
        val target = holds[range].target
        return holds.isFree(range, owner, owner in owners && (target == null || target !in owners), view, now)
    }

    /** Before the first assignment the servers that are just starting are waited for: later moves have a price. */
    private fun isComplete(view: OwnershipView, now: Long): Boolean {
        if (view.servers.size != seenServers) {
            seenServers = view.servers.size
            joinedAt = now
        }
        return document.owners.isNotEmpty() || now - joinedAt > JOINING_MILLISECONDS
    }

    private companion object {
        /** Servers that start together are entered within about a second of each other. */
        const val JOINING_MILLISECONDS = 1_200L

        /** Ranges that become free within this time share one write. */
        const val WRITE_PAUSE_MILLISECONDS = 80L

        /** Pace of moves for load; load reports come about as often. */
        const val BALANCE_MILLISECONDS = 250L
        const val BALANCE_MOVES = 16

        /** A range stays where it is for so long, so that its load there shows before it is moved again. */
        const val SETTLE_MILLISECONDS = 1_500L
    }
}
