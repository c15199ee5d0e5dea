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
    private val times = HashMap<ServerName, Double>()
    private var fadedAt: Long? = null

    /** Requests a second for [range]. */
    fun rate(range: Int): Double = rates[range]

    /** Milliseconds that [server] takes for one request; the mean of all servers where it has not answered yet. */
    fun time(server: ServerName): Double = times[server] ?: usual()

    /** Takes in at [now] that [count] requests for [range] arrived. */
    fun requested(range: Int, count: Int, now: Long) {
        fade(now)
        if (range in rates.indices) rates[range] += count / MEMORY_SECONDS
    }

    /** Takes in that [server] answered [answers] requests in [milliseconds] altogether. */
    fun answered(server: ServerName, answers: Int, milliseconds: Long) {
        if (answers <= 0) return
        val mean = milliseconds.toDouble() / answers
        val weight = 1 - exp(-answers / REMEMBERED_ANSWERS)
        val known = times[server] ?: mean
        times[server] = known + weight * (mean - known)
    }

    /** Forgets at [now] what is long past. */
    fun fade(now: Long) {
        val since = now - (fadedAt ?: now)
        if (fadedAt != null && since < FADE_MILLISECONDS) return
        fadedAt = now
        val factor = exp(-since / (MEMORY_SECONDS * MILLISECONDS_PER_SECOND))
        rates.indices.forEach { rates[it] *= factor }
    }

    private fun usual(): Double = if (times.isEmpty()) FIRST_MILLISECONDS else times.values.average()

    private companion object {
        /** Requests are remembered for about this long; a hot key lasts for a few seconds. */
        const val MEMORY_SECONDS = 2.5
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val FADE_MILLISECONDS = 100L
        const val REMEMBERED_ANSWERS = 15.0
        const val FIRST_MILLISECONDS = 200.0
    }
}
