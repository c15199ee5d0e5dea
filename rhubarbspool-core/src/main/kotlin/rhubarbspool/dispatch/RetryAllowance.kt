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
    private var earnedTokens = 0.0
    private var slackLeft = 0.0
    private var refilledAt: Long? = null

    /** A request arrived. */
    fun recordRequest() {
        earnedTokens = minOf(earnedTokens + ratio * EARNED_SHARE, MAXIMUM_EARNED)
    }

    /** Takes the token of one retry at [now], where this instance may use [slack] retries a window by itself. */
    fun tryAcquire(slack: Double, now: Long): Boolean {
        refill(slack, now)
        return when {
            earnedTokens >= 1 -> {
                earnedTokens -= 1
                true
            }
            slackLeft >= 1 -> {
                slackLeft -= 1
                true
            }
            else -> false
        }
    }

    private fun refill(slack: Double, now: Long) {
        val share = slack * SLACK_SHARE
        val last = refilledAt
        refilledAt = now
        slackLeft =
            if (last == null) share else minOf(maxOf(1.0, share), slackLeft + share * (now - last) / windowMilliseconds)
    }

    private companion object {
        /** Part of the earned retries that is used; the rest covers requests that move between instances. */
        const val EARNED_SHARE = 0.6

        /** A full bucket and what flows in during one window come to less than the slack. */
        const val SLACK_SHARE = 0.4

        /** Earned retries that are kept for later. */
        const val MAXIMUM_EARNED = 2.0
    }
}
