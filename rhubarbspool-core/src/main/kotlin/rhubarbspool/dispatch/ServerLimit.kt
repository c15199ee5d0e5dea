/*
 * The limit that a server names in its responses: the requests per second that it takes from all instances together,
 * for as long as it says so. The instance that dispatches for the server spends them for all others. While instances
 * disagree on who dispatches, several may, so one that only stands in spends a share that fits beside the whole limit.
 */
package rhubarbspool.dispatch

/** The limit of one server, first known at [now]. All times are monotonic milliseconds. */
internal class ServerLimit(now: Long) {
    private var named: Double? = null
    private var namedAt = Long.MIN_VALUE
    private var heardAt = Long.MIN_VALUE
    private var bucket = TokenBucket(0.0, now)

    /** Whether this instance only stands in for the one that dispatches for the server. */
    var isStandIn: Boolean = false

    /** Requests per second that the server has named; null while it names no limit. */
    val requestsPerSecond: Double? get() = named

    /** Requests per second that may be sent from here; null while the server names no limit. */
    val sentPerSecond: Double?
        get() = named?.let { maxOf(it, MINIMUM_PER_SECOND) * if (isStandIn) STAND_IN_SHARE else 1.0 }

    /** The server named [requestsPerSecond] in a response at [at]; ignored if a later response is known. */
    fun onNamed(requestsPerSecond: Double, at: Long, now: Long) {
        if (at < heardAt) return
        if (named == null) bucket = TokenBucket(0.0, now)
        named = requestsPerSecond
        namedAt = at
        heardAt = at
    }

    /**
     * The server named no limit in a response at [now] to a request that was permitted at [permittedAt]. Responses may
     * be reported out of order, so only one to a request that followed the last named limit ends it.
     */
    fun onLifted(permittedAt: Long, now: Long) {
        if (named == null || permittedAt < namedAt) return
        named = null
        heardAt = now
    }

    /** Whether a request may be sent at [now]. */
    fun allows(now: Long): Boolean = refill(now)?.let { it >= 1 } ?: true

    /** Milliseconds from [now] until a request with [ahead] others before it may be sent. */
    fun waitTime(ahead: Int, now: Long): Double {
        val rate = sentPerSecond ?: return 0.0
        val missing = ahead + 1 - (refill(now) ?: 0.0)
        return maxOf(0.0, missing) / rate * MILLISECONDS_PER_SECOND
    }

    /** Counts a request. */
    fun onPermit() = bucket.take()

    private fun refill(now: Long): Double? =
        sentPerSecond?.let { rate -> bucket.refill(rate, maxOf(MINIMUM_BURST, rate * BURST_SECONDS), now) }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** A server that names a limit near zero still gets a request now and then, to learn of a higher one. */
        const val MINIMUM_PER_SECOND = 0.25

        /** Below a half, since servers bear one and a half times their limit (platform's bound). */
        const val STAND_IN_SHARE = 0.4

        /** Requests that may be sent at once; two instances that dispatch at a time stay within the bound's slack. */
        const val MINIMUM_BURST = 2.0

        /** With high limits, the time whose requests may be sent at once, so that a pause of the process costs none. */
        const val BURST_SECONDS = 0.1
    }
}
