/*
 * What is known of one range: whether its owner may still hold it, and which call about it is under way.
 */
package rhubarbspool.ownership

/**
 * State of one range while this process coordinates. All times are monotonic milliseconds.
 *
 * @property mayHoldUntil until when its owner may hold it by a grant that was sent.
 * @property doubtUntil until when a grant of an earlier coordinator may take effect, unless the owner has taken one
 * of this coordinator's.
 * @property effectiveAt the last time at which a grant may have reached its address.
 */
internal class RangeHold(var mayHoldUntil: Long, var doubtUntil: Long, var effectiveAt: Long) {
    /** Until when a grant with the even token and without an answer may still take effect. */
    var unansweredUntil: Long = LONG_AGO

    /** Until when a grant with the odd token and without an answer may still take effect. */
    var fencingUntil: Long = LONG_AGO

    /** When the last answered grant was sent; long ago when there was none. */
    var grantedAt: Long = LONG_AGO

    /** When the last call was sent. */
    var calledAt: Long = LONG_AGO

    /** Whether a call is under way. */
    var calling: Boolean = false

    /** Whether the holder knows the odd token, which makes its earlier grants void. */
    var fenced: Boolean = false

    /** Whether the holder answered a release. */
    var released: Boolean = false

    /** What the last holder handed over for the next one. */
    var handover: String? = null

    /** Where the range is to go although its owner is well. */
    var target: Owner? = null

    /** When the range last got a new owner. */
    var movedAt: Long = LONG_AGO

    /** Whether its owner is new and has not accepted a grant yet. */
    val isUngranted: Boolean get() = grantedAt == LONG_AGO && movedAt != LONG_AGO

    /** Whether a grant with the even token that has no answer, or is not known here, may take effect at [now]. */
    fun isDoubtful(now: Long): Boolean = !fenced && now < maxOf(doubtUntil, unansweredUntil)

    /** Whether nothing that was sent to the holder can take effect after [now], once it has released. */
    fun isVoid(now: Long): Boolean = !isDoubtful(now) && now >= fencingUntil

    /** Starts over with a new owner at [now]. */
    fun reassigned(now: Long) {
        grantedAt = LONG_AGO
        calledAt = LONG_AGO
        fenced = false
        released = false
        target = null
        movedAt = now
        effectiveAt = LONG_AGO
        mayHoldUntil = now
        doubtUntil = LONG_AGO
        unansweredUntil = LONG_AGO
        fencingUntil = LONG_AGO
    }

    companion object {
        const val LONG_AGO: Long = Long.MIN_VALUE / 2
    }
}
