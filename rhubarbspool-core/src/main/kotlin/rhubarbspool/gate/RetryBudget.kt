/*
 * Limits retries to a share of the answers, so that retries add little load to a failing server.
 */
package rhubarbspool.gate

/** Token bucket: each answer adds a fraction of a token, each retry takes one. */
internal class RetryBudget {
    private var tokens = MAXIMUM_TOKENS

    /** Adds the tokens for one answer. */
    fun recordAnswer() {
        tokens = minOf(MAXIMUM_TOKENS, tokens + TOKENS_PER_ANSWER)
    }

    /** Takes the token for one retry; false if there is none. */
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
