/*
 * Keeps the owners of one service's ranges: renews grants, and moves ranges away from servers that leave. A range goes
 * to another server only after its holder answered a release, or once the last grant that might reach the holder has
 * run out, or the holder's life has provably ended. The document is written before the grant.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.Now
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

/** What the edge is asked to do. */
sealed interface OwnershipEffect {
    /** Grant [range] to [owner] for [holdMilliseconds]; the answer goes to [OwnershipCoordinator.onGrant]. */
    data class Grant(
        val range: Int,
        val owner: Owner,
        val fence: Long,
        val holdMilliseconds: Long,
        val handover: String?,
    ) : OwnershipEffect

    /** Take [range] back from [owner]; the answer goes to [OwnershipCoordinator.onRelease]. */
    data class Release(val range: Int, val owner: Owner, val fence: Long) : OwnershipEffect

    /** Write [document]; the answer goes to [OwnershipCoordinator.onWritten]. */
    data class Write(val document: OwnershipDocument) : OwnershipEffect
}

/** How a call to a server ended. */
enum class OrderResult { ACCEPTED, REFUSED, UNANSWERED, NOT_SENT }

/** What the coordinator sees of the world at one moment; [storeTroubled] while the table does not answer. */
data class OwnershipView(
    val servers: List<BackendEntry>,
    val addresses: Map<Address, BackendEntry>,
    val evacuated: Set<FailureDomainName>,
    val storeTroubled: Boolean,
)

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
    private val firstDoubt = if (isNew) startedAt else startedAt + LONGEST_HOLD
    private val holds = Array(document.ranges) { RangeHold(firstDoubt, firstDoubt, if (isNew) RangeHold.LONG_AGO else startedAt) }
    private var writing: Map<Int, Owner>? = null
    private var wroteAt = startedAt - WRITE_PAUSE_MILLISECONDS
    private var balancedAt = startedAt
    private var renewalCursor = 0
    private var seenServers = 0
    private var joinedAt = startedAt

    /** Ranges whose owner answered a grant that has not run out at [now]. */
    fun granted(now: Long): Int = holds.count { now - it.grantedAt < HOLD_MILLISECONDS }

    /** Decides at [now] what to do next; at most [calls] calls to servers. */
    fun tick(view: OwnershipView, calls: Int, now: Now): List<OwnershipEffect> {
        val eligible = view.servers.filter { it.state == ServerState.READY && it.domain !in view.evacuated }
        val candidates = eligible.map { candidate(it, now.monotonic) }
        val owners = candidates.mapTo(HashSet()) { it.owner }
        balance(candidates, owners, now.monotonic)
        return write(view, candidates, owners, now) + call(view, candidates, owners, calls, now.monotonic)
    }

    /** Takes in at [now] the end of a grant that was sent at [sentAt]. */
    fun onGrant(grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        val hold = current(grant.range, grant.owner, grant.fence) ?: return
        hold.calling = false
        val until = now + stretched(grant.holdMilliseconds)
        when (result) {
            OrderResult.ACCEPTED -> {
                hold.effectiveAt = maxOf(hold.effectiveAt, now)
                hold.grantedAt = sentAt
                hold.mayHoldUntil = maxOf(hold.mayHoldUntil, until)
                hold.handover = null
                if (grant.fence % 2 == 1L) hold.fenced = true
            }
            OrderResult.UNANSWERED -> {
                hold.effectiveAt = maxOf(hold.effectiveAt, now)
                hold.mayHoldUntil = maxOf(hold.mayHoldUntil, until)
                hold.unansweredUntil = maxOf(hold.unansweredUntil, until)
            }
            OrderResult.REFUSED, OrderResult.NOT_SENT -> Unit
        }
    }

    /** Takes in the end of a release; [handover] is what the holder answered. */
    fun onRelease(release: OwnershipEffect.Release, result: OrderResult, handover: String?) {
        val hold = current(release.range, release.owner, release.fence) ?: return
        hold.calling = false
        if (result == OrderResult.ACCEPTED) {
            hold.released = true
            hold.handover = handover
        }
    }

    /** Takes in at [now] whether the last document was written. */
    fun onWritten(written: Boolean, now: Long) {
        val changes = writing ?: return
        writing = null
        if (!written) return
        document = document.with(changes)
        changes.keys.forEach { holds[it].reassigned(now) }
    }

    private fun current(range: Int, owner: Owner, fence: Long): RangeHold? {
        val known = document.owner(range) == owner && fence / 2 == document.fences[range] / 2
        return if (known) holds[range] else null
    }

    private fun candidate(entry: BackendEntry, now: Long): Candidate {
        val weight = if (now < entry.coldUntil) OwnershipPlan.COLD_WEIGHT else 1.0
        return Candidate(OwnershipPlan.ownerOf(entry), weight * entry.slots)
    }

    /** Chooses ranges to move for their load; moves that are under way are finished first. */
    private fun balance(candidates: List<Candidate>, owners: Set<Owner>, now: Long) {
        if (now - balancedAt < BALANCE_MILLISECONDS) return
        balancedAt = now
        load.fade(now)
        val moving = holds.indices.count { holds[it].target != null || document.owner(it) !in owners }
        if (moving > 0 || candidates.isEmpty()) return
        val moves = LoadPlan.moves(document, candidates, load, BALANCE_MOVES) { now - holds[it].movedAt > SETTLE_MILLISECONDS }
        moves.forEach { (range, owner) -> holds[range].target = owner }
    }

    private fun write(
        view: OwnershipView,
        candidates: List<Candidate>,
        owners: Set<Owner>,
        now: Now,
    ): List<OwnershipEffect> {
        if (writing != null || candidates.isEmpty() || now.monotonic - wroteAt < WRITE_PAUSE_MILLISECONDS) return emptyList()
        val free = document.ownerOf.indices.filter { isFree(it, view, owners, now) }
        if (free.isEmpty() || !isComplete(view, now.monotonic)) return emptyList()
        val aimed = free.mapNotNull { range -> holds[range].target?.takeIf { it in owners }?.let { range to it } }.toMap()
        val current = document.ownerOf.indices.map(document::owner)
        val changes = OwnershipPlan.assign(free - aimed.keys, current, candidates) + aimed
        writing = changes
        wroteAt = now.monotonic
        return listOf(OwnershipEffect.Write(document.with(changes)))
    }

    /** Before the first assignment the servers that are just starting are waited for: later moves have a price. */
    private fun isComplete(view: OwnershipView, now: Long): Boolean {
        if (view.servers.size != seenServers) {
            seenServers = view.servers.size
            joinedAt = now
        }
        return document.owners.isNotEmpty() || now - joinedAt > JOINING_MILLISECONDS
    }

    /** Whether nobody can hold [range] any more and its owner is to lose it. */
    private fun isFree(range: Int, view: OwnershipView, owners: Set<Owner>, now: Now): Boolean {
        val owner = document.owner(range) ?: return true
        val hold = holds[range]
        val wanted = owner in owners && (hold.target == null || hold.target !in owners)
        if (wanted && !hold.released) return false
        val voided = hold.released && (hold.fenced || now.monotonic >= hold.unansweredUntil)
        return voided || now.monotonic >= hold.mayHoldUntil && !hold.calling || isOver(owner, hold, view, now)
    }

    /** Another life at the same address, or a later life under the same name, proves that [owner] has ended. */
    private fun successor(owner: Owner, view: OwnershipView): BackendEntry? {
        val sameAddress = view.addresses[owner.address]?.takeIf { it.server != owner.server }
        val sameName = view.servers.firstOrNull { it.server == owner.server }
        return listOfNotNull(sameAddress, sameName).filter { it.bornWall > owner.bornWall }.minByOrNull { it.bornWall }
    }

    /**
     * Whether [owner] has ended and nothing that was sent to it can have reached the life that came after it: grants
     * go to an address and do not name a life.
     */
    private fun isOver(owner: Owner, hold: RangeHold, view: OwnershipView, now: Now): Boolean {
        val next = successor(owner, view) ?: return false
        val bornAt = now.monotonic - (now.wall - next.bornWall)
        return !hold.calling && hold.effectiveAt + CLOCK_MARGIN_MILLISECONDS < bornAt
    }

    private fun call(
        view: OwnershipView,
        candidates: List<Candidate>,
        owners: Set<Owner>,
        calls: Int,
        now: Long,
    ): List<OwnershipEffect> {
        val effects = ArrayList<OwnershipEffect>()
        val count = document.ranges
        var looked = 0
        while (looked < count && effects.size < calls) {
            val range = (renewalCursor + looked) % count
            nextCall(range, view, owners, candidates.isNotEmpty(), now)?.let(effects::add)
            looked++
        }
        renewalCursor = (renewalCursor + looked) % count
        return effects
    }

    private fun nextCall(
        range: Int,
        view: OwnershipView,
        owners: Set<Owner>,
        canMove: Boolean,
        now: Long,
    ): OwnershipEffect? {
        val owner = document.owner(range) ?: return null
        val hold = holds[range]
        if (hold.calling || writing?.containsKey(range) == true || successor(owner, view) != null) return null
        val leaves = owner !in owners && canMove
        val moves = leaves || (hold.target != null && hold.target in owners)
        return when {
            hold.released -> null
            moves -> takeBack(range, owner, hold, isListed(owner, view), now)
            !isListed(owner, view) -> null
            else -> renew(range, owner, hold, view, now)
        }
    }

    private fun isListed(owner: Owner, view: OwnershipView): Boolean =
        view.servers.any { it.server == owner.server && it.bornWall == owner.bornWall }

    /** Nothing is granted to an owner that is not listed any more: another life may be about to start in its place. */
    private fun takeBack(range: Int, owner: Owner, hold: RangeHold, listed: Boolean, now: Long): OwnershipEffect? {
        if (now - hold.calledAt < RETRY_MILLISECONDS) return null
        val doubtful = now < hold.unansweredUntil && !hold.fenced
        if (doubtful && !listed) return null
        return called(hold, now) {
            if (doubtful) {
                OwnershipEffect.Grant(range, owner, document.fences[range] + 1, FENCING_MILLISECONDS, null)
            } else {
                OwnershipEffect.Release(range, owner, document.fences[range] + if (hold.fenced) 1 else 0)
            }
        }
    }

    private fun renew(range: Int, owner: Owner, hold: RangeHold, view: OwnershipView, now: Long): OwnershipEffect? {
        val hasTime = now - hold.grantedAt < if (view.storeTroubled) TROUBLED_RENEWAL else RENEWAL_MILLISECONDS
        if (hasTime || now - hold.calledAt < RETRY_MILLISECONDS) return null
        val time = if (view.storeTroubled) LONGEST_GRANT else HOLD_MILLISECONDS
        val fence = document.fences[range] + if (hold.fenced) 1 else 0
        return called(hold, now) { OwnershipEffect.Grant(range, owner, fence, time, hold.handover) }
    }

    private fun called(hold: RangeHold, now: Long, effect: () -> OwnershipEffect): OwnershipEffect {
        hold.calling = true
        hold.calledAt = now
        return effect()
    }

    companion object {
        /** Longest hold that servers accept, in milliseconds (platform's bound). */
        const val LONGEST_GRANT: Long = 10_000

        /** Usual hold; longer than a change of coordinator takes, shorter than the longest for lost servers' sake. */
        const val HOLD_MILLISECONDS: Long = 7_000

        /** Time between two grants of a range; a third of the hold. */
        const val RENEWAL_MILLISECONDS: Long = 2_300

        /** While the table does not answer, every grant is soon renewed for the longest time. */
        const val TROUBLED_RENEWAL: Long = 600

        /** A hold that only has to last until the release that follows. */
        const val FENCING_MILLISECONDS: Long = 1_500
        private const val RETRY_MILLISECONDS = 300L
        private const val JOINING_MILLISECONDS = 1_200L

        /** Ranges that become free within this time share one write. */
        private const val WRITE_PAUSE_MILLISECONDS = 80L
        private const val BALANCE_MILLISECONDS = 250L
        private const val BALANCE_MOVES = 16

        /** A range stays where it is for so long, so that its load there shows before it is moved again. */
        private const val SETTLE_MILLISECONDS = 1_500L

        /** A server's clock may run two percent slow (platform's bound); the rest is for the way there. */
        private const val DRIFT_PERCENT = 2
        /** Servers' and instances' wall clocks agree within this time. */
        private const val CLOCK_MARGIN_MILLISECONDS = 1_000L
        private const val TRANSIT_MILLISECONDS = 200L
        private const val PERCENT = 100
        private const val LONGEST_HOLD = LONGEST_GRANT + LONGEST_GRANT * DRIFT_PERCENT / PERCENT + TRANSIT_MILLISECONDS

        private fun stretched(hold: Long): Long = hold + hold * DRIFT_PERCENT / PERCENT + TRANSIT_MILLISECONDS
    }
}
