/*
 * Bounds retries to a share of the calls, so that a server that fails is not loaded further by retries.
 */
package rhubarbspool.gate

/** Token bucket that answers fill and retries empty. */
internal class RetryBudget {
    private var tokens = MAXIMUM_TOKENS

    /** An answer arrived. */
    fun recordAnswer() {
        tokens = minOf(MAXIMUM_TOKENS, tokens + TOKENS_PER_ANSWER)
    }

    /** Takes the token of one retry; false when there is none. */
    fun tryAcquire(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }

    private companion object {
        const val MAXIMUM_TOKENS = 10.0
        const val TOKENS_PER_ANSWER = 0.1
    }
}
