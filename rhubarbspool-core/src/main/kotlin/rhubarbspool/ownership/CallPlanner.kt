/*
 * Chooses the next grant or release call for each range: a renewal, or a step towards moving the range.
 */
package rhubarbspool.ownership

/** Inputs for planning calls; only [eligibleOwners] may keep ranges. */
internal class CallInputs(
    val document: OwnershipDocument,
    val view: OwnershipView,
    val eligibleOwners: Set<Owner>,
    val now: Long,
)

/**
 * Plans calls to servers. Ranges that have moved or must move have priority, since their callers wait, but a share of
 * the calls is reserved for renewals. Within each group ranges are served round robin. Times are monotonic
 * milliseconds.
 */
internal class CallPlanner(private val holds: HoldTable) {
    private var nextRenewal = 0
    private var nextMove = 0

    /**
     * Returns at most [limit] calls, none for ranges in [excluded]. Ranges whose owner is no longer eligible are
     * reclaimed if there are other eligible owners.
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

    /** Returns at most [limit] effects for [ranges], starting at range [first] and wrapping around. */
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
     * Releases the range, after a fencing grant if an unconfirmed earlier grant could still take effect. An owner
     * without an entry may be about to stop and not respond, so it gets the fencing grant only if that can't extend the
     * time for which it may hold the range.
     */
    private fun reclaim(range: Int, inputs: CallInputs): OwnershipEffect? {
        val owner = inputs.document.owner(range) ?: return null
        val fence = inputs.document.fences[range]
        val keys = inputs.document.keys(range)
        val listed = inputs.view.isListed(owner)
        val now = inputs.now
        val hold = holds[range]
        val unconfirmed = hold.hasUnconfirmedGrant(now)
        return when {
            unconfirmed && !listed && hold.mayHoldUntil < now + HoldTimes.LONGEST_FENCING_HOLD -> null
            unconfirmed ->
                recordCall(hold, now, OwnershipEffect.Grant(keys, owner, fence + 1, HoldTimes.FENCING_HOLD, null))
            else -> recordCall(hold, now, OwnershipEffect.Release(keys, owner, fence + if (hold.fenced) 1 else 0))
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
        val grant = OwnershipEffect.Grant(inputs.document.keys(range), owner, fence, duration, hold.handover)
        return recordCall(hold, inputs.now, grant)
    }

    private fun recordCall(hold: RangeHold, now: Long, effect: OwnershipEffect): OwnershipEffect {
        hold.callInFlight = true
        hold.calledAt = now
        return effect
    }

    private companion object {
        /** One call in four is reserved for renewals while many ranges move. */
        const val RENEWALS_SHARE = 4
    }
}
