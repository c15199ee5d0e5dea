/*
 * Tokens that accrue at a rate, one for each request that may be sent.
 */
package rhubarbspool.dispatch

/** A bucket with [tokens] at [refilledAt]. All times are monotonic milliseconds. */
internal class TokenBucket(private var tokens: Double, private var refilledAt: Long) {
    /** Adds what accrued up to [now] at [ratePerSecond] and returns the tokens, of which [maximum] are kept. */
    fun refill(ratePerSecond: Double, maximum: Double, now: Long): Double {
        val accrued = maxOf(0, now - refilledAt) * ratePerSecond / MILLISECONDS_PER_SECOND
        tokens = minOf(maximum, tokens + accrued)
        refilledAt = now
        return tokens
    }

    /** Takes one token, also if there is none. */
    fun take() {
        tokens -= 1
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
