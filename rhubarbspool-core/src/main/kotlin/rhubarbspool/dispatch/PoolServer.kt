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
    private var percent = USUAL_PERCENT
    private var percentAt = now
    private var failures = 0
    private var blockedUntil = Long.MIN_VALUE / 2
    private var faultShare = 0.0
    private var coldTokens = 1.0
    private var coldTokensAt = now

    /** Permits that are out. */
    var inFlight: Int = 0
        private set

    /** Share of recent answers that were faults. */
    val faults: Double get() = faultShare

    /** Whether a request may be sent at [now]; a cold server takes [coldRate] requests a second. */
    fun isFree(now: Long, coldRate: Double?): Boolean {
        val trial = failures > 0 && inFlight > 0
        return inFlight < entry.slots && now >= blockedUntil && !trial && (!isCold(now) || hasColdToken(now, coldRate))
    }

    /** Whether the server is cold at [now]. */
    fun isCold(now: Long): Boolean = now < entry.coldUntil

    /** Whether the server takes work at all at [now]. */
    fun isFit(now: Long): Boolean = now >= blockedUntil || failures < LOST_FAILURES

    /** Expected time of one request at [now], from the pool's [usual] time where nothing better is known. */
    fun expected(usual: Double, now: Long): Double {
        val known = samples.coerceAtMost(TRUSTED_SAMPLES).toDouble() / TRUSTED_SAMPLES
        val age = ((now - sampledAt).toDouble() / FORGET_MILLISECONDS).coerceIn(0.0, 1.0)
        val trust = known * (1 - age)
        val base = if (samples == 0) usual else serviceTime * trust + usual * (1 - trust)
        val neighbours = if (now - percentAt < PERCENT_MILLISECONDS) percent / USUAL_PERCENT.toDouble() else 1.0
        val cold = if (isCold(now)) COLD_FACTOR else 1.0
        return base * neighbours * cold
    }

    /** Notes a permit at [now]. */
    fun permitted(now: Long) {
        inFlight++
        if (isCold(now)) coldTokens -= 1
    }

    /** Notes that a permit was not used. */
    fun cancelled() {
        inFlight = maxOf(0, inFlight - 1)
    }

    /** Takes in the end of a call at [now]. */
    fun ended(end: CallEnd, now: Long) {
        inFlight = maxOf(0, inFlight - 1)
        if (end.load != null) {
            percent = end.load.percent
            percentAt = now
        }
        when (end.outcome) {
            CallOutcome.ANSWERED -> answered(end.took, now)
            CallOutcome.FAULTY -> faultShare += FAULT_WEIGHT * (1 - faultShare)
            CallOutcome.SHED -> {
                faultShare += FAULT_WEIGHT * (1 - faultShare)
                blockedUntil = maxOf(blockedUntil, now + SHED_MILLISECONDS)
            }
            CallOutcome.UNREACHABLE, CallOutcome.BROKEN -> failed(now)
            CallOutcome.MISDIRECTED, CallOutcome.CANCELLED -> Unit
        }
    }

    private fun answered(took: Long, now: Long) {
        failures = 0
        faultShare -= FAULT_WEIGHT * faultShare
        if (isCold(now)) return
        val weight = if (samples == 0) 1.0 else SAMPLE_WEIGHT
        serviceTime += weight * (took - serviceTime)
        samples++
        sampledAt = now
    }

    private fun failed(now: Long) {
        failures++
        val wait = (FIRST_BLOCK_MILLISECONDS shl minOf(failures - 1, MAXIMUM_DOUBLINGS))
        blockedUntil = now + wait
    }

    private fun hasColdToken(now: Long, rate: Double?): Boolean {
        if (rate == null) return true
        coldTokens = minOf(MAXIMUM_COLD_TOKENS, coldTokens + (now - coldTokensAt) * rate / MILLISECONDS_PER_SECOND)
        coldTokensAt = now
        return coldTokens >= 1
    }

    private companion object {
        const val USUAL_PERCENT = 100
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Weight of one answer in the mean; about ten answers are remembered. */
        const val SAMPLE_WEIGHT = 0.15
        const val TRUSTED_SAMPLES = 3

        /** After this time without answers a server counts as unknown again, so that a slow one is tried anew. */
        const val FORGET_MILLISECONDS = 4_000L

        /** The platform's servers share machines; their slowdown figure holds for less than half a second. */
        const val PERCENT_MILLISECONDS = 300L
        const val COLD_FACTOR = 2.0
        const val FAULT_WEIGHT = 0.15

        /** A server without room has some again after about one request. */
        const val SHED_MILLISECONDS = 60L
        const val FIRST_BLOCK_MILLISECONDS = 200L
        const val MAXIMUM_DOUBLINGS = 3
        const val LOST_FAILURES = 2
        const val MAXIMUM_COLD_TOKENS = 2.0
    }
}
