/*
 * Times of the lease protocol. The takeover wait is the lease stretched by the worst rate at which two
 * monotonic clocks drift apart; no wall clocks are compared between machines.
 */
package rhubarbspool.lease

/**
 * Durations of the lease protocol, in milliseconds.
 *
 * @property lease how long evidence lets a holder act.
 * @property clockDriftPercent most that one monotonic clock runs faster than another.
 * @property renewal time between two rounds of questions to the successors.
 */
data class LeaseTimes(
    val lease: Long = DEFAULT_LEASE_MILLISECONDS,
    val clockDriftPercent: Long = DEFAULT_CLOCK_DRIFT_PERCENT,
    val renewal: Long = DEFAULT_RENEWAL_MILLISECONDS,
) {
    /** How long a successor waits after its last promise before it takes over. */
    val takeoverWait: Long get() = withClockDrift(lease)

    /** [duration] stretched by the clock drift and one millisecond of rounding. */
    fun withClockDrift(duration: Long): Long = duration + duration * clockDriftPercent / PERCENT + 1

    companion object {
        const val DEFAULT_LEASE_MILLISECONDS: Long = 600
        const val DEFAULT_CLOCK_DRIFT_PERCENT: Long = 5
        const val DEFAULT_RENEWAL_MILLISECONDS: Long = 200
        private const val PERCENT = 100
    }
}
