/*
 * Requests a second, from a count that fades.
 */
package rhubarbspool.dispatch

import kotlin.math.exp

/** Counts arrivals. All times are monotonic milliseconds. */
internal class ArrivalRate {
    private var ratePerSecond = 0.0
    private var updatedAt = 0L

    /** Notes an arrival at [now]. */
    fun record(now: Long) {
        ratePerSecond = at(now) + MILLISECONDS_PER_SECOND / DECAY_MILLISECONDS
        updatedAt = now
    }

    /** Requests a second at [now]. */
    fun at(now: Long): Double = ratePerSecond * exp(-(now - updatedAt) / DECAY_MILLISECONDS)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Bursts and hot keys last for seconds; shorter memories take chance for load. */
        const val DECAY_MILLISECONDS = 1_500.0
    }
}
