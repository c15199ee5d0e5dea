/*
 * Which call to a server each range needs next: a renewal, or what takes it back.
 */
package rhubarbspool.ownership

/** What decisions about calls look at; only [owners] may keep ranges. */
internal class CallInputs(
    val document: OwnershipDocument,
    val view: OwnershipView,
    val owners: Set<Owner>,
    val now: Long,
)

/**
 * Plans calls. Ranges that have moved or are to move come first, since their callers wait, but leave a part of the
 * calls to renewals; within each group the ranges take turns. Times are monotonic milliseconds.
 */
internal class CallPlanner(private val holds: HoldTable) {
    private var renewalsFrom = 0
    private var movesFrom = 0

    /**
     * At most [most] calls. Ranges that are [busy] get none; those whose owner may not keep them are taken back where
     * there are other owners.
     */
    fun calls(inputs: CallInputs, busy: Set<Int>, most: Int): List<OwnershipEffect> {
        val idle = inputs.document.ownerOf.indices.filter { it !in busy && mayBeCalled(it, inputs) }
        val (moving, staying) = idle.partition { moves(it, inputs) }
        val (moved, settled) = staying.partition { holds[it].isUngranted }
        val first = inTurn(settled, renewalsFrom, most / RENEWALS_SHARE) { renew(it, inputs) }
        val grants = inTurn(moved, 0, most - first.effects.size) { renew(it, inputs) }
        val called = first.effects + grants.effects
        val moves = inTurn(moving, movesFrom, most - called.size) { takeBack(it, inputs) }
        movesFrom = moves.next
        val rest = inTurn(settled, first.next, most - called.size - moves.effects.size) { renew(it, inputs) }
        renewalsFrom = rest.next
        return called + moves.effects + rest.effects
    }

    private class Turn(val effects: List<OwnershipEffect>, val next: Int)

    /** At most [most] effects for [ranges], beginning with range [first]. */
    private fun inTurn(ranges: List<Int>, first: Int, most: Int, effect: (Int) -> OwnershipEffect?): Turn {
        val effects = ArrayList<OwnershipEffect>()
        val (before, after) = ranges.partition { it < first }
        (after + before).forEach { range ->
            if (effects.size == most) return Turn(effects, range)
            effect(range)?.let(effects::add)
        }
        return Turn(effects, first)
    }

    private fun mayBeCalled(range: Int, inputs: CallInputs): Boolean {
        val hold = holds[range]
        val owner = inputs.document.owner(range)
        val isIdle = !hold.calling && !hold.released && inputs.now - hold.calledAt >= HoldTimes.RETRY
        return isIdle && owner != null && inputs.view.successor(owner) == null
    }

    private fun moves(range: Int, inputs: CallInputs): Boolean {
        val target = holds[range].target
        val leaves = inputs.document.owner(range) !in inputs.owners && inputs.owners.isNotEmpty()
        return leaves || (target != null && target in inputs.owners)
    }

    /**
     * Asks for the range back, after a grant that makes unanswered ones void. An owner that is not listed may be about
     * to end, without an answer: it gets that grant only while this can't prolong the time that it may hold the range.
     */
    private fun takeBack(range: Int, inputs: CallInputs): OwnershipEffect? {
        val owner = inputs.document.owner(range) ?: return null
        val fence = inputs.document.fences[range]
        val listed = inputs.view.isListed(owner)
        val now = inputs.now
        val hold = holds[range]
        val doubtful = hold.isDoubtful(now)
        return when {
            doubtful && !listed && hold.mayHoldUntil < now + HoldTimes.LONGEST_FENCING -> null
            doubtful -> called(hold, now, OwnershipEffect.Grant(range, owner, fence + 1, HoldTimes.FENCING, null))
            else -> called(hold, now, OwnershipEffect.Release(range, owner, fence + if (hold.fenced) 1 else 0))
        }
    }

    private fun renew(range: Int, inputs: CallInputs): OwnershipEffect? {
        val hold = holds[range]
        val owner = inputs.document.owner(range)?.takeIf(inputs.view::isListed)
        val troubled = inputs.view.storeTroubled
        val interval = if (troubled) HoldTimes.TROUBLED_RENEWAL else HoldTimes.RENEWAL
        if (owner == null || hold.calling || inputs.now - hold.grantedAt < interval) return null
        val time = if (troubled) HoldTimes.LONGEST_GRANT else HoldTimes.HOLD
        val fence = inputs.document.fences[range] + if (hold.fenced) 1 else 0
        return called(hold, inputs.now, OwnershipEffect.Grant(range, owner, fence, time, hold.handover))
    }

    private fun called(hold: RangeHold, now: Long, effect: OwnershipEffect): OwnershipEffect {
        hold.calling = true
        hold.calledAt = now
        return effect
    }

    private companion object {
        /** One call in four is for renewals also while many ranges move. */
        const val RENEWALS_SHARE = 4
    }
}
