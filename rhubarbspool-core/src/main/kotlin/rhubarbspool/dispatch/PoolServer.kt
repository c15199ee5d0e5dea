/*
 * A pool's view of one of its servers: slots in use, expected service time, and whether it is available.
 */
package rhubarbspool.dispatch

import rhubarbspool.traffic.BackendEntry

/** One server of a pool. All times are monotonic milliseconds. */
internal class PoolServer(var entry: BackendEntry, now: Long) {
    private var serviceTime = 0.0
    private var samples = 0
    private var sampledAt = now
    private var slowdownPercent = NORMAL_PERCENT
    private var slowdownAt = now
    private var failures = 0
    private var blockedUntil = Long.MIN_VALUE / 2
    private var faultAverage = 0.0
    private val coldTokens = TokenBucket(1.0, now)

    /** The limit that the server has named, if any. */
    val limit = ServerLimit(now)

    /** Number of permits that were issued for this server and have not ended. */
    var inFlight: Int = 0
        private set

    /** Moving average of the share of calls that ended in a fault or were shed. */
    val faultRate: Double get() = faultAverage

    /**
     * Whether a request may be sent at [now]. A cold server gets at most [coldRate] requests per second. After a failed
     * call, only one request at a time probes the server.
     */
    fun hasCapacity(now: Long, coldRate: Double?): Boolean {
        val probing = failures > 0 && inFlight > 0
        val isTooCold =
            isCold(now) && coldRate != null && coldTokens.refill(coldRate, MAXIMUM_COLD_TOKENS, now) < 1
        return inFlight < entry.slots && now >= blockedUntil && !probing && !isTooCold && limit.allows(now)
    }

    /** Whether the server has started too recently to be at full speed at [now]. */
    fun isCold(now: Long): Boolean = now < entry.coldUntil

    /** Whether the server may get requests at [now] or soon; false while it is blocked after repeated failures. */
    fun isAvailable(now: Long): Boolean = now >= blockedUntil || failures < UNAVAILABLE_FAILURES

    /**
     * Expected service time of one request at [now], in milliseconds. Falls back to the pool's [meanServiceTime] as far
     * as the server's own samples are few or old.
     */
    fun expectedTime(meanServiceTime: Double, now: Long): Double {
        val sampleConfidence = samples.coerceAtMost(CONFIDENT_SAMPLES).toDouble() / CONFIDENT_SAMPLES
        val staleness = ((now - sampledAt).toDouble() / SAMPLE_EXPIRY_MILLISECONDS).coerceIn(0.0, 1.0)
        val confidence = sampleConfidence * (1 - staleness)
        val base = if (samples == 0) meanServiceTime else serviceTime * confidence + meanServiceTime * (1 - confidence)
        val machineFactor =
            if (now - slowdownAt < SLOWDOWN_VALID_MILLISECONDS) slowdownPercent / NORMAL_PERCENT.toDouble() else 1.0
        val coldFactor = if (isCold(now)) COLD_FACTOR else 1.0
        return base * machineFactor * coldFactor
    }

    /** Slots that requests of [serviceTime] milliseconds can keep in use under the server's limit. */
    fun usableSlots(serviceTime: Double): Double {
        val slots = entry.slots.toDouble()
        return limit.sentPerSecond?.let { minOf(slots, it / MILLISECONDS_PER_SECOND * serviceTime) } ?: slots
    }

    /** Counts a permit that is issued at [now]. */
    fun onPermit(now: Long) {
        inFlight++
        if (isCold(now)) coldTokens.take()
        limit.onPermit()
    }

    /** Frees the slot of a permit whose call was cancelled or never reported. */
    fun onCancelled() {
        inFlight = maxOf(0, inFlight - 1)
    }

    /**
     * Frees the slot of a call that was permitted at [permittedAt] and ended at [now], and updates the estimates from
     * its [result].
     */
    fun onResult(result: CallResult, permittedAt: Long, now: Long) {
        inFlight = maxOf(0, inFlight - 1)
        when {
            result.limit != null -> limit.onNamed(result.limit, now, now)
            result.outcome == CallOutcome.ANSWERED -> limit.onLifted(permittedAt, now)
        }
        if (result.load != null) {
            slowdownPercent = result.load.percent
            slowdownAt = now
        }
        when (result.outcome) {
            CallOutcome.ANSWERED -> recordSuccess(result.durationMilliseconds, now)
            CallOutcome.FAULTY -> faultAverage += FAULT_WEIGHT * (1 - faultAverage)
            CallOutcome.SHED -> {
                faultAverage += FAULT_WEIGHT * (1 - faultAverage)
                blockedUntil = maxOf(blockedUntil, now + SHED_BACKOFF_MILLISECONDS)
            }
            CallOutcome.UNREACHABLE, CallOutcome.BROKEN -> recordFailure(now)
            CallOutcome.MISDIRECTED, CallOutcome.CANCELLED -> Unit
        }
    }

    private fun recordSuccess(durationMilliseconds: Long, now: Long) {
        failures = 0
        faultAverage -= FAULT_WEIGHT * faultAverage
        if (isCold(now)) return
        val weight = if (samples == 0) 1.0 else SAMPLE_WEIGHT
        serviceTime += weight * (durationMilliseconds - serviceTime)
        samples++
        sampledAt = now
    }

    private fun recordFailure(now: Long) {
        failures++
        val backOffMilliseconds = (INITIAL_BACKOFF_MILLISECONDS shl minOf(failures - 1, MAXIMUM_BACKOFF_DOUBLINGS))
        blockedUntil = now + backOffMilliseconds
    }

    private companion object {
        const val NORMAL_PERCENT = 100
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Weight of one response in the moving average, which covers about ten responses. */
        const val SAMPLE_WEIGHT = 0.15
        const val CONFIDENT_SAMPLES = 3

        /** Samples expire after this time without a response, so that a server that was slow is tried again. */
        const val SAMPLE_EXPIRY_MILLISECONDS = 4_000L

        /** The platform's servers share machines, so a reported slowdown is valid for less than half a second. */
        const val SLOWDOWN_VALID_MILLISECONDS = 300L
        const val COLD_FACTOR = 2.0
        const val FAULT_WEIGHT = 0.15

        /** A server that shed a request has capacity again after about the time of one request. */
        const val SHED_BACKOFF_MILLISECONDS = 60L
        const val INITIAL_BACKOFF_MILLISECONDS = 200L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 3
        const val UNAVAILABLE_FAILURES = 2
        const val MAXIMUM_COLD_TOKENS = 2.0
    }
}
