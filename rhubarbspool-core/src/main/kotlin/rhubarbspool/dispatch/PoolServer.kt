/*
 * What a pool believes of one of its servers: slots in use, how long work takes, and whether it is fit for work.
 */
package rhubarbspool.dispatch

import rhubarbspool.traffic.BackendEntry

/** A server of a pool. All times are monotonic milliseconds. */
internal class PoolServer(var entry: BackendEntry, now: Long) {
    private var serviceTime = 0.0
    private var samples = 0
    private var sampledAt = now
    private var slowdownPercent = NORMAL_PERCENT
    private var slowdownAt = now
    private var failures = 0
    private var blockedUntil = Long.MIN_VALUE / 2
    private var faultAverage = 0.0
    private var coldTokens = 1.0
    private var coldTokensAt = now

    /** Permits that are out. */
    var inFlight: Int = 0
        private set

    /** Share of recent answers that were faults. */
    val faultRate: Double get() = faultAverage

    /** Whether a request may be sent at [now]; a cold server takes [coldRate] requests a second. */
    fun hasCapacity(now: Long, coldRate: Double?): Boolean {
        val probing = failures > 0 && inFlight > 0
        return inFlight < entry.slots && now >= blockedUntil && !probing &&
            (!isCold(now) || hasColdToken(now, coldRate))
    }

    /** Whether the server is cold at [now]. */
    fun isCold(now: Long): Boolean = now < entry.coldUntil

    /** Whether the server takes work at all at [now]. */
    fun isAvailable(now: Long): Boolean = now >= blockedUntil || failures < UNAVAILABLE_FAILURES

    /** Expected time of one request at [now], from the pool's [meanServiceTime] time where nothing better is known. */
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

    /** Notes a permit at [now]. */
    fun onPermit(now: Long) {
        inFlight++
        if (isCold(now)) coldTokens -= 1
    }

    /** Notes that a permit was not used. */
    fun onCancelled() {
        inFlight = maxOf(0, inFlight - 1)
    }

    /** Takes in the end of a call at [now]. */
    fun onResult(result: CallResult, now: Long) {
        inFlight = maxOf(0, inFlight - 1)
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

    private fun hasColdToken(now: Long, rate: Double?): Boolean {
        if (rate == null) return true
        coldTokens = minOf(MAXIMUM_COLD_TOKENS, coldTokens + (now - coldTokensAt) * rate / MILLISECONDS_PER_SECOND)
        coldTokensAt = now
        return coldTokens >= 1
    }

    private companion object {
        const val NORMAL_PERCENT = 100
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Weight of one answer in the mean; about ten answers are remembered. */
        const val SAMPLE_WEIGHT = 0.15
        const val CONFIDENT_SAMPLES = 3

        /** After this time without answers a server counts as unknown again, so that a slow one is tried anew. */
        const val SAMPLE_EXPIRY_MILLISECONDS = 4_000L

        /** The platform's servers share machines; their slowdown figure holds for less than half a second. */
        const val SLOWDOWN_VALID_MILLISECONDS = 300L
        const val COLD_FACTOR = 2.0
        const val FAULT_WEIGHT = 0.15

        /** A server without room has some again after about one request. */
        const val SHED_BACKOFF_MILLISECONDS = 60L
        const val INITIAL_BACKOFF_MILLISECONDS = 200L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 3
        const val UNAVAILABLE_FAILURES = 2
        const val MAXIMUM_COLD_TOKENS = 2.0
    }
}
