/*
 * Request rates of a service's ranges and response times of its servers, as reported by the instances. Rates decay
 * exponentially, so that a key that has become busy is visible within a second.
 */
package rhubarbspool.ownership

import rhubarbspool.model.ServerName
import kotlin.math.exp

/** Load of [ranges] ranges. Points in time are monotonic milliseconds. */
class RangeLoad(ranges: Int) {
    private val rates = DoubleArray(ranges)
    private val means = HashMap<ServerName, Double>()
    private var decayedAt: Long? = null

    /** Requests per second for [range]. */
    fun rate(range: Int): Double = rates[range]

    /** Mean response time of [server]; the mean of all servers if it has not responded yet. */
    fun meanMilliseconds(server: ServerName): Double = means[server] ?: overallMean()

    /** Records [count] requests for [range] that were reported at [now]. */
    fun recordRequests(range: Int, count: Int, now: Long) {
        decay(now)
        if (range in rates.indices) rates[range] += count / DECAY_SECONDS
    }

    /** Records [answers] responses of [server] that took [milliseconds] in total. */
    fun recordAnswers(server: ServerName, answers: Int, milliseconds: Long) {
        if (answers <= 0) return
        val mean = milliseconds.toDouble() / answers
        val weight = 1 - exp(-answers / SMOOTHING_ANSWERS)
        val previous = means[server] ?: mean
        means[server] = previous + weight * (mean - previous)
    }

    /** Applies the decay since the last call to all rates. */
    fun decay(now: Long) {
        val elapsed = now - (decayedAt ?: now)
        if (decayedAt != null && elapsed < DECAY_INTERVAL_MILLISECONDS) return
        decayedAt = now
        val factor = exp(-elapsed / (DECAY_SECONDS * MILLISECONDS_PER_SECOND))
        rates.indices.forEach { rates[it] *= factor }
    }

    private fun overallMean(): Double = if (means.isEmpty()) DEFAULT_MILLISECONDS else means.values.average()

    private companion object {
        /** Time constant of the decay; a hot key typically lasts a few seconds. */
        const val DECAY_SECONDS = 2.5
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val DECAY_INTERVAL_MILLISECONDS = 100L
        const val SMOOTHING_ANSWERS = 15.0
        const val DEFAULT_MILLISECONDS = 200.0
    }
}
