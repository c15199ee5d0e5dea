/*
 * Which call to a server each range needs next: a renewal, or what takes it back.
 */
package rhubarbspool.ownership

/** What decisions about calls look at; only [owners] may keep ranges. */
internal class CallInputs(
    val document: OwnershipDocument,
    val view: OwnershipView,
    val eligibleOwners: Set<Owner>,
    val now: Long,
)

/**
 * Plans calls. Ranges that have moved or are to move come first, since their callers wait, but leave a part of the
 * calls to renewals; within each group the ranges take turns. Times are monotonic milliseconds.
 */
internal class CallPlanner(private val holds: HoldTable) {
    private var nextRenewal = 0
    private var nextMove = 0

    /**
     * At most [most] calls. Ranges that are [busy] get none; those whose owner may not keep them are taken back where
     * there are other owners.
     */
    fun plan(inputs: CallInputs, excluded: Set<Int>, limit: Int): List<OwnershipEffect> {
        val idle = inputs.document.ownerOf.indices.filter { it !in excluded && isCallable(it, inputs) }
        val (moving, staying) = idle.partition { mustMove(it, inputs) }
        val (moved, settled) = staying.partition { holds[it].awaitsFirstGrant }
        val urgentRenewals = roundRobin(settled, nextRenewal, limit / RENEWALS_SHARE) { renew(it, inputs) }
        val firstGrants = roundRobin(moved, 0, limit - urgentRenewals.effects.size) { renew(it, inputs) }
        val called = urgentRenewals.effects + firstGrants.effects
        val moves = roundRobin(moving, nextMove, limit - called.size) { reclaim(it, inputs) }
        nextMove = moves.nextRange
        val rest = roundRobin(settled, urgentRenewals.nextRange, limit - called.size - moves.effects.size) {
            renew(it, inputs)
        }
        nextRenewal = rest.nextRange
        return called + moves.effects + rest.effects
    }

    private class Batch(val effects: List<OwnershipEffect>, val nextRange: Int)

    /** At most [most] effects for [ranges], beginning with range [first]. */
    private fun roundRobin(ranges: List<Int>, first: Int, limit: Int, effect: (Int) -> OwnershipEffect?): Batch {
        val effects = ArrayList<OwnershipEffect>()
        val (before, after) = ranges.partition { it < first }
        (after + before).forEach { range ->
            if (effects.size == limit) return Batch(effects, range)
            effect(range)?.let(effects::add)
        }
        return Batch(effects, first)
    }

    private fun isCallable(range: Int, inputs: CallInputs): Boolean {
        val hold = holds[range]
        val owner = inputs.document.owner(range)
        val mayCall = !hold.callInFlight && !hold.released && inputs.now - hold.calledAt >= HoldTimes.RETRY_DELAY
        return mayCall && owner != null && inputs.view.successor(owner) == null
    }

    private fun mustMove(range: Int, inputs: CallInputs): Boolean {
        val target = holds[range].target
        val ownerMustLeave =
            inputs.document.owner(range) !in inputs.eligibleOwners && inputs.eligibleOwners.isNotEmpty()
        return ownerMustLeave || (target != null && target in inputs.eligibleOwners)
    }

    /**
     * Asks for the range back, after a grant that makes unanswered ones void. An owner that is not listed may be about
     * to end, without an answer: it gets that grant only while this can't prolong the time that it may hold the range.
     */
    private fun reclaim(range: Int, inputs: CallInputs): OwnershipEffect? {
        val owner = inputs.document.owner(range) ?: return null
        val fence = inputs.document.fences[range]
        val listed = inputs.view.isListed(owner)
        val now = inputs.now
        val hold = holds[range]
        val unconfirmed = hold.hasUnconfirmedGrant(now)
        return when {
            unconfirmed && !listed && hold.mayHoldUntil < now + HoldTimes.LONGEST_FENCING_HOLD -> null
            unconfirmed ->
                recordCall(hold, now, OwnershipEffect.Grant(range, owner, fence + 1, HoldTimes.FENCING_HOLD, null))
            else -> recordCall(hold, now, OwnershipEffect.Release(range, owner, fence + if (hold.fenced) 1 else 0))
        }
    }

    private fun renew(range: Int, inputs: CallInputs): OwnershipEffect? {
        val hold = holds[range]
        val owner = inputs.document.owner(range)?.takeIf(inputs.view::isListed)
        val tableUnavailable = inputs.view.isTableUnavailable
        val interval = if (tableUnavailable) HoldTimes.OUTAGE_RENEWAL_INTERVAL else HoldTimes.RENEWAL_INTERVAL
        if (owner == null || hold.callInFlight || inputs.now - hold.grantedAt < interval) return null
        val duration = if (tableUnavailable) HoldTimes.LONGEST_GRANT else HoldTimes.HOLD
        val fence = inputs.document.fences[range] + if (hold.fenced) 1 else 0
        return recordCall(hold, inputs.now, OwnershipEffect.Grant(range, owner, fence, duration, hold.handover))
    }

    private fun recordCall(hold: RangeHold, now: Long, effect: OwnershipEffect): OwnershipEffect {
        hold.callInFlight = true
        hold.calledAt = now
        return effect
    }

    private companion object {
        /** One call in four is for renewals also while many ranges move. */
        const val RENEWALS_SHARE = 4
    }
}
