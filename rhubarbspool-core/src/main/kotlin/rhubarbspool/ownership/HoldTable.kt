/*
 * What is known of every range's holder, and when a range may go to another one.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now

/** Holds of all [ranges]; unless [isNew], grants of an earlier coordinator may be on their way at [startedAt]. */
internal class HoldTable(ranges: Int, startedAt: Long, isNew: Boolean) {
    private val holds = Array(ranges) {
        val doubtUntil = if (isNew) startedAt else startedAt + HoldTimes.LONGEST_HOLD
        RangeHold(doubtUntil, doubtUntil, if (isNew) RangeHold.LONG_AGO else startedAt)
    }

    operator fun get(range: Int): RangeHold = holds[range]

    /** Takes in at [now] that [grant], sent at [sentAt], ended with [result]. */
    fun granted(grant: OwnershipEffect.Grant, result: OrderResult, sentAt: Long, now: Long) {
        val hold = holds[grant.range]
        val until = now + HoldTimes.stretched(grant.holdMilliseconds)
        val mayHold = result == OrderResult.ACCEPTED || result == OrderResult.UNANSWERED
        hold.calling = false
        if (mayHold) {
            hold.effectiveAt = maxOf(hold.effectiveAt, now)
            hold.mayHoldUntil = maxOf(hold.mayHoldUntil, until)
        }
        val isFencing = grant.fence % 2 == 1L
        if (result == OrderResult.UNANSWERED && isFencing) hold.fencingUntil = maxOf(hold.fencingUntil, until)
        if (result == OrderResult.UNANSWERED && !isFencing) hold.unansweredUntil = maxOf(hold.unansweredUntil, until)
        if (result == OrderResult.ACCEPTED) {
            hold.grantedAt = sentAt
            hold.doubtUntil = RangeHold.LONG_AGO
            hold.handover = null
            if (isFencing) hold.fenced = true
        }
    }

    /** Takes in that [release] ended with [result], and what the holder hands over. */
    fun released(release: OwnershipEffect.Release, result: OrderResult, handover: String?) {
        val hold = holds[release.range]
        hold.calling = false
        if (result == OrderResult.ACCEPTED) {
            hold.released = true
            hold.handover = handover
        }
    }

    /** Whether nobody can hold [range] at [now], which [owner] is [wanted] to keep or not. */
    fun isFree(range: Int, owner: Owner, wanted: Boolean, view: OwnershipView, now: Now): Boolean {
        val hold = holds[range]
        val voided = hold.released && hold.isVoid(now.monotonic)
        val ranOut = now.monotonic >= hold.mayHoldUntil && !hold.calling
        return if (wanted && !hold.released) false else voided || ranOut || isOver(owner, hold, view, now)
    }

    /**
     * Whether [owner] has ended and nothing that was sent to it can have reached the life that came after it: grants
     * go to an address and do not name a life.
     */
    private fun isOver(owner: Owner, hold: RangeHold, view: OwnershipView, now: Now): Boolean {
        val next = view.successor(owner) ?: return false
        val bornAt = now.monotonic - (now.wall - next.bornWall)
        return !hold.calling && hold.effectiveAt + HoldTimes.CLOCK_MARGIN < bornAt
    }
}
