/*
 * Tracks which owner may still hold each range, and decides when a range may be reassigned.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now

/** Holds of all [ranges]; unless [isNew], grants of an earlier coordinator may be in flight at [startedAt]. */
internal class HoldTable(ranges: Int, startedAt: Long, isNew: Boolean) {
    private var holds = List(ranges) {
        val earlierGrantsUntil = if (isNew) startedAt else startedAt + HoldTimes.LONGEST_HOLD
        RangeHold(earlierGrantsUntil, earlierGrantsUntil, if (isNew) RangeHold.NEVER else startedAt)
    }

    operator fun get(range: Int): RangeHold = holds[range]

    /** Splits ranges: the range at each index of [formerRanges] was a part of the range with the given former index. */
    fun split(formerRanges: List<Int>) {
        holds = formerRanges.mapIndexed { range, former ->
            if (range > 0 && formerRanges[range - 1] == former) holds[former].copy() else holds[former]
        }
    }

    /**
     * Records the [result] at [now] of a [grant] of [range] that was sent at [sentAt]. A refusal may be a late copy of
     * an earlier one, so it does not show that the grant was not accepted.
     */
    fun onGrant(range: Int, grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        val hold = holds[range]
        val until = now + HoldTimes.longestHold(grant.holdMilliseconds)
        val mayHold = result != OrderResult.NOT_SENT
        hold.callInFlight = false
        if (mayHold) {
            hold.lastArrivalAt = maxOf(hold.lastArrivalAt, now)
            hold.mayHoldUntil = maxOf(hold.mayHoldUntil, until)
        }
        val isFencing = grant.fence % 2 == 1L
        val isUnconfirmed = mayHold && result != OrderResult.ACCEPTED
        if (isUnconfirmed && isFencing) hold.fencingUntil = maxOf(hold.fencingUntil, until)
        if (isUnconfirmed && !isFencing) hold.unansweredUntil = maxOf(hold.unansweredUntil, until)
        if (result == OrderResult.ACCEPTED) {
            hold.grantedAt = sentAt
            hold.earlierGrantsUntil = RangeHold.NEVER
            hold.handover = null
            if (isFencing) hold.fenced = true
        }
    }

    /** Records the [result] of a release of [range], and the holder's [handover] for the next owner. */
    fun onRelease(range: Int, result: OrderResult, handover: String?) {
        val hold = holds[range]
        hold.callInFlight = false
        if (result == OrderResult.ACCEPTED) {
            hold.released = true
            hold.handover = handover
        }
    }

    /**
     * Whether [range] may get a new owner: [owner] can't hold it any more, and if it [mayKeep] the range, it has
     * released it.
     */
    fun isReassignable(range: Int, owner: Owner, mayKeep: Boolean, view: OwnershipView, now: Now): Boolean {
        val hold = holds[range]
        val allGrantsVoid = hold.released && hold.areGrantsVoid(now.monotonic)
        val expired = now.monotonic >= hold.mayHoldUntil && !hold.callInFlight
        return if (mayKeep && !hold.released) false else allGrantsVoid || expired || hasEnded(owner, hold, view, now)
    }

    /**
     * Whether [owner] has stopped and no grant sent to it can have reached the next incarnation: grants are sent to an
     * address and do not name an incarnation.
     */
    private fun hasEnded(owner: Owner, hold: RangeHold, view: OwnershipView, now: Now): Boolean {
        val successor = view.successor(owner) ?: return false
        val successorStartedAt = now.monotonic - (now.wall - successor.bornWall)
        return !hold.callInFlight && hold.lastArrivalAt + HoldTimes.CLOCK_MARGIN < successorStartedAt
    }
}
