/*
 * What is known of one range: whether its owner may still hold it, and which call about it is under way.
 */
package rhubarbspool.ownership

/**
 * State of one range while this process coordinates. All times are monotonic milliseconds.
 *
 * @property mayHoldUntil until when its owner may hold it by a grant that was sent.
 * @property earlierGrantsUntil until when a grant of an earlier coordinator may take effect, unless the owner has taken
 * one of this coordinator's.
 * @property lastArrivalAt the last time at which a grant may have reached its address.
 */
internal class RangeHold(var mayHoldUntil: Long, var earlierGrantsUntil: Long, var lastArrivalAt: Long) {
    /** Until when a grant with the even token and without an answer may still take effect. */
    var unansweredUntil: Long = NEVER

    /** Until when a grant with the odd token and without an answer may still take effect. */
    var fencingUntil: Long = NEVER

    /** When the last answered grant was sent; long ago when there was none. */
    var grantedAt: Long = NEVER

    /** When the last call was sent. */
    var calledAt: Long = NEVER

    /** Whether a call is under way. */
    var callInFlight: Boolean = false

    /** Whether the holder knows the odd token, which makes its earlier grants void. */
    var fenced: Boolean = false

    /** Whether the holder answered a release. */
    var released: Boolean = false

    /** What the last holder handed over for the next one. */
    var handover: String? = null

    /** Where the range is to go although its owner is well. */
    var target: Owner? = null

    /** When the range last got a new owner. */
    var movedAt: Long = NEVER

    /** Whether its owner is new and has not accepted a grant yet. */
    val awaitsFirstGrant: Boolean get() = grantedAt == NEVER && movedAt != NEVER

    /** Whether a grant with the even token that has no answer, or is not known here, may take effect at [now]. */
    fun hasUnconfirmedGrant(now: Long): Boolean = !fenced && now < maxOf(earlierGrantsUntil, unansweredUntil)

    /** Whether nothing that was sent to the holder can take effect after [now], once it has released. */
    fun areGrantsVoid(now: Long): Boolean = !hasUnconfirmedGrant(now) && now >= fencingUntil

    /** Starts over with a new owner at [now]. */
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
        const val NEVER: Long = Long.MIN_VALUE / 2
    }
}
