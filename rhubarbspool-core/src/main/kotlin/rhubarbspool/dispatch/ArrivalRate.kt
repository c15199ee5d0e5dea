/*
 * Exponentially decaying estimate of the rate at which requests arrive.
 */
package rhubarbspool.dispatch

import kotlin.math.exp

/** Estimates the arrival rate. All times are monotonic milliseconds. */
internal class ArrivalRate {
    private var ratePerSecond = 0.0
    private var updatedAt = 0L

    /** Records one arrival at [now]. */
    fun record(now: Long) {
        ratePerSecond = at(now) + MILLISECONDS_PER_SECOND / DECAY_MILLISECONDS
        updatedAt = now
    }

    /** Estimated requests per second at [now]. */
    fun at(now: Long): Double = ratePerSecond * exp(-(now - updatedAt) / DECAY_MILLISECONDS)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Time constant. Bursts and hot keys last for seconds; a shorter window mistakes random variation for load. */
        const val DECAY_MILLISECONDS = 1_500.0
    }
}
