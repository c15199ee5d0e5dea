/*
 * Times of the lease protocol. The takeover wait is the lease lengthened by the maximum rate at which two monotonic
 * clocks drift apart; wall clocks of different machines are never compared.
 */
package rhubarbspool.lease

/**
 * Durations of the lease protocol, in milliseconds.
 *
 * @property lease how long a holder may act on evidence.
 * @property clockDriftPercent maximum by which one monotonic clock runs faster than another.
 * @property renewal interval between two rounds of promise queries to the successors.
 */
data class LeaseTimes(
    val lease: Long = DEFAULT_LEASE_MILLISECONDS,
    val clockDriftPercent: Long = DEFAULT_CLOCK_DRIFT_PERCENT,
    val renewal: Long = DEFAULT_RENEWAL_MILLISECONDS,
) {
    /** Minimum time between a successor's last promise and its takeover. */
    val takeoverWait: Long get() = withClockDrift(lease)

    /** [duration] lengthened by the clock drift, plus one millisecond for rounding. */
    fun withClockDrift(duration: Long): Long = duration + duration * clockDriftPercent / PERCENT + 1

    companion object {
        const val DEFAULT_LEASE_MILLISECONDS: Long = 600
        const val DEFAULT_CLOCK_DRIFT_PERCENT: Long = 5
        const val DEFAULT_RENEWAL_MILLISECONDS: Long = 200
        private const val PERCENT = 100
    }
}
