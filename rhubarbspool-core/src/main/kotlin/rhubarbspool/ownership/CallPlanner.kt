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

/** Plans calls; all ranges take turns. Times are monotonic milliseconds. */
internal class CallPlanner(private val holds: HoldTable) {
    private var cursor = 0

    /**
     * At most [most] calls. Ranges that are [busy] get none; those whose owner may not keep them are taken back where
     * there are other owners.
     */
    fun calls(inputs: CallInputs, busy: Set<Int>, most: Int): List<OwnershipEffect> {
        val document = inputs.document
        val effects = ArrayList<OwnershipEffect>()
        var looked = 0
        while (looked < document.ranges && effects.size < most) {
            val range = (cursor + looked++) % document.ranges
            val owner = document.owner(range)
            val isIdle = range !in busy && !holds[range].calling
            val lives = owner != null && isIdle && inputs.view.successor(owner) == null
            if (owner != null && lives) next(range, owner, inputs)?.let(effects::add)
        }
        cursor = (cursor + looked) % document.ranges
        return effects
    }

    private fun next(range: Int, owner: Owner, inputs: CallInputs): OwnershipEffect? {
        val hold = holds[range]
        val now = inputs.now
        val listed = inputs.view.isListed(owner)
        val leaves = owner !in inputs.owners && inputs.owners.isNotEmpty()
        val moves = leaves || (hold.target != null && hold.target in inputs.owners)
        val fence = inputs.document.fences[range]
        return when {
            hold.released || now - hold.calledAt < HoldTimes.RETRY -> null
            moves -> takeBack(range, owner, fence, listed, now)
            listed -> renew(range, owner, fence, inputs.view.storeTroubled, now)
            else -> null
        }
    }

    /**
     * Asks for the range back, after a grant that makes unanswered ones void. An owner that is not listed may be about
     * to end, without an answer: it gets that grant only while this can't prolong the time that it may hold the range.
     */
    private fun takeBack(range: Int, owner: Owner, fence: Long, listed: Boolean, now: Long): OwnershipEffect? {
        val hold = holds[range]
        val doubtful = hold.isDoubtful(now)
        return when {
            doubtful && !listed && hold.mayHoldUntil < now + HoldTimes.LONGEST_FENCING -> null
            doubtful -> called(hold, now, OwnershipEffect.Grant(range, owner, fence + 1, HoldTimes.FENCING, null))
            else -> called(hold, now, OwnershipEffect.Release(range, owner, fence + if (hold.fenced) 1 else 0))
        }
    }

    private fun renew(range: Int, owner: Owner, fence: Long, troubled: Boolean, now: Long): OwnershipEffect? {
        val hold = holds[range]
        val interval = if (troubled) HoldTimes.TROUBLED_RENEWAL else HoldTimes.RENEWAL
        if (now - hold.grantedAt < interval) return null
        val time = if (troubled) HoldTimes.LONGEST_GRANT else HoldTimes.HOLD
        return called(
            hold,
            now,
            OwnershipEffect.Grant(range, owner, fence + if (hold.fenced) 1 else 0, time, hold.handover),
        )
    }

    private fun called(hold: RangeHold, now: Long, effect: OwnershipEffect): OwnershipEffect {
        hold.calling = true
        hold.calledAt = now
        return effect
    }
}
