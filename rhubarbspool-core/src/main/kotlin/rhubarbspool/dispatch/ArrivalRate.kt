/*
 * Requests a second, from a count that fades.
 */
package rhubarbspool.dispatch

import kotlin.math.exp

/** Counts arrivals. All times are monotonic milliseconds. */
internal class ArrivalRate {
    private var perSecond = 0.0
    private var countedAt = 0L

    /** Notes an arrival at [now]. */
    fun arrived(now: Long) {
        perSecond = at(now) + MILLISECONDS_PER_SECOND / MEMORY_MILLISECONDS
        countedAt = now
    }

    /** Requests a second at [now]. */
    fun at(now: Long): Double = perSecond * exp(-(now - countedAt) / MEMORY_MILLISECONDS)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Bursts and hot keys last for seconds; shorter memories take chance for load. */
        const val MEMORY_MILLISECONDS = 1_500.0
    }
}
