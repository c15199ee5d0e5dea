/*
 * This instance's part of the retries that all instances together may send to a service. Every instance counts its
 * own requests, so the parts add up to the whole without talk between them.
 */
package rhubarbspool.dispatch

/**
 * Retries to one service.
 *
 * @property ratio retries for each request, over all instances.
 * @property windowMilliseconds time in which [ratio] and the slack hold.
 */
class RetryAllowance(private val ratio: Double, private val windowMilliseconds: Long) {
    private var tokens = 0.0
    private var refilledAt: Long? = null

    /** A request arrived. */
    fun requested() {
        tokens += ratio * USED_SHARE
    }

    /** Takes the token of one retry at [now], where this instance may use [slack] retries a window by itself. */
    fun take(slack: Double, now: Long): Boolean {
        refill(slack, now)
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private fun refill(slack: Double, now: Long) {
        val share = maxOf(1.0, slack * USED_SHARE)
        val last = refilledAt
        refilledAt = now
        val added = if (last == null) share else share * (now - last) / windowMilliseconds
        tokens = minOf(tokens + added, share + MAXIMUM_EARNED)
    }

    private companion object {
        /** Part of the budget that is used; the rest covers requests that move between instances. */
        const val USED_SHARE = 0.6
        const val MAXIMUM_EARNED = 8.0
    }
}
