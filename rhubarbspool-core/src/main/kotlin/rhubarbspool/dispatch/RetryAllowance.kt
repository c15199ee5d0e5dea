/*
 * This instance's share of the retry budget that all instances together have for a service. Every instance counts its
 * own requests, so the shares add up to the budget without communication between instances.
 */
package rhubarbspool.dispatch

/**
 * Retry budget of this instance for one service: tokens earned by requests, and a token bucket of slack.
 *
 * @property ratio retries per request, over all instances.
 * @property windowMilliseconds window to which [ratio] and the slack apply.
 */
class RetryAllowance(private val ratio: Double, private val windowMilliseconds: Long) {
    private var earnedTokens = 0.0
    private var slackLeft = 0.0
    private var refilledAt: Long? = null

    /** Earns the fraction of a retry that one request adds to the budget. */
    fun recordRequest() {
        earnedTokens = minOf(earnedTokens + ratio * EARNED_SHARE, MAXIMUM_EARNED)
    }

    /** Takes one retry at [now] if any is left; [slack] is this instance's share, in retries per window. */
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
        /** Share of the earned retries that is used; the rest covers requests that move between instances. */
        const val EARNED_SHARE = 0.6

        /** Keeps a full bucket plus the refill of one window below the slack. */
        const val SLACK_SHARE = 0.4

        /** Most earned retries that are kept for later. */
        const val MAXIMUM_EARNED = 2.0
    }
}
