/*
 * How busy the ranges of a service are, and how long its servers take, as the instances reported it. Old reports fade,
 * so that a key that has become busy shows within a second.
 */
package rhubarbspool.ownership

import rhubarbspool.model.ServerName
import kotlin.math.exp

/** Load of [ranges] ranges. All times are monotonic milliseconds. */
class RangeLoad(ranges: Int) {
    private val rates = DoubleArray(ranges)
    private val means = HashMap<ServerName, Double>()
    private var decayedAt: Long? = null

    /** Requests a second for [range]. */
    fun rate(range: Int): Double = rates[range]

    /** Milliseconds that [server] takes for one request; the mean of all servers where it has not answered yet. */
    fun meanMilliseconds(server: ServerName): Double = means[server] ?: overallMean()

    /** Takes in at [now] that [count] requests for [range] arrived. */
    fun recordRequests(range: Int, count: Int, now: Long) {
        decay(now)
        if (range in rates.indices) rates[range] += count / DECAY_SECONDS
    }

    /** Takes in that [server] answered [answers] requests in [milliseconds] altogether. */
    fun recordAnswers(server: ServerName, answers: Int, milliseconds: Long) {
        if (answers <= 0) return
        val mean = milliseconds.toDouble() / answers
        val weight = 1 - exp(-answers / SMOOTHING_ANSWERS)
        val previous = means[server] ?: mean
        means[server] = previous + weight * (mean - previous)
    }

    /** Forgets at [now] what is long past. */
    fun decay(now: Long) {
        val elapsed = now - (decayedAt ?: now)
        if (decayedAt != null && elapsed < DECAY_INTERVAL_MILLISECONDS) return
        decayedAt = now
        val factor = exp(-elapsed / (DECAY_SECONDS * MILLISECONDS_PER_SECOND))
        rates.indices.forEach { rates[it] *= factor }
    }

    private fun overallMean(): Double = if (means.isEmpty()) DEFAULT_MILLISECONDS else means.values.average()

    private companion object {
        /** Requests are remembered for about this long; a hot key lasts for a few seconds. */
        const val DECAY_SECONDS = 2.5
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val DECAY_INTERVAL_MILLISECONDS = 100L
        const val SMOOTHING_ANSWERS = 15.0
        const val DEFAULT_MILLISECONDS = 200.0
    }
}
