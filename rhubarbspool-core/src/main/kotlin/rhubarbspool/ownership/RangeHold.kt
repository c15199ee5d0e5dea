/*
 * State of one range: whether its owner may still hold it, and whether a call about it is in flight.
 */
package rhubarbspool.ownership

/**
 * State of one range while this process coordinates. All times are monotonic milliseconds.
 *
 * @property mayHoldUntil until when its owner may hold it under a grant that was sent.
 * @property earlierGrantsUntil until when a grant of an earlier coordinator may take effect, unless the owner has
 * accepted a grant of this coordinator.
 * @property lastArrivalAt the latest time at which a grant may have reached the owner's address.
 */
internal class RangeHold(var mayHoldUntil: Long, var earlierGrantsUntil: Long, var lastArrivalAt: Long) {
    /** Until when an unanswered grant with the even token may still take effect. */
    var unansweredUntil: Long = NEVER

    /** Until when an unanswered fencing grant (odd token) may still take effect. */
    var fencingUntil: Long = NEVER

    /** When the last accepted grant was sent; [NEVER] if there was none. */
    var grantedAt: Long = NEVER

    /** When the last call was sent. */
    var calledAt: Long = NEVER

    /** Whether a grant or release call is in flight. */
    var callInFlight: Boolean = false

    /** Whether the holder has accepted a fencing grant (odd token), which makes its earlier grants void. */
    var fenced: Boolean = false

    /** Whether the holder has confirmed a release. */
    var released: Boolean = false

    /** Handover from the previous holder for the next one. */
    var handover: String? = null

    /** New owner chosen for load although the current owner may keep the range. */
    var target: Owner? = null

    /** When the range last got a new owner. */
    var movedAt: Long = NEVER

    /** Whether a new owner has not accepted its first grant yet. */
    val awaitsFirstGrant: Boolean get() = grantedAt == NEVER && movedAt != NEVER

    /**
     * Whether a grant with the even token that is unanswered, or from an earlier coordinator, may take effect at [now].
     */
    fun hasUnconfirmedGrant(now: Long): Boolean = !fenced && now < maxOf(earlierGrantsUntil, unansweredUntil)

    /** Whether no grant sent to the holder can take effect after [now], once it has released the range. */
    fun areGrantsVoid(now: Long): Boolean = !hasUnconfirmedGrant(now) && now >= fencingUntil

    /** Whether the range may be split: no call is in flight whose result would concern several ranges. */
    val isSplittable: Boolean
        get() = !callInFlight && !released && target == null && handover == null && !awaitsFirstGrant

    /** A copy of this state, for a part of the range. */
    fun copy(): RangeHold = RangeHold(mayHoldUntil, earlierGrantsUntil, lastArrivalAt).also {
        it.unansweredUntil = unansweredUntil
        it.fencingUntil = fencingUntil
        it.grantedAt = grantedAt
        it.calledAt = calledAt
        it.fenced = fenced
        it.movedAt = movedAt
    }

    /** Resets the state for a new owner at [now]. */
    fun reassign(now: Long) {
        grantedAt = NEVER
        calledAt = NEVER
        fenced = false
        released = false
        target = null
        movedAt = now
        lastArrivalAt = NEVER
        mayHoldUntil = now
        earlierGrantsUntil = NEVER
        unansweredUntil = NEVER
        fencingUntil = NEVER
    }

    companion object {
        /** Time of something that has not happened; half the minimum, so that differences to it do not overflow. */
        const val NEVER: Long = Long.MIN_VALUE / 2
    }
}
