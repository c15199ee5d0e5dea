/*
 * Durations and timeouts of grants, in milliseconds.
 */
package rhubarbspool.ownership

/** How long servers hold ranges, and how often grants are renewed. */
object HoldTimes {
    /** Longest hold that servers accept (bound set by the platform). */
    const val LONGEST_GRANT: Long = 10_000

    /**
     * Usual hold: outlasts a change of coordinator, but shorter than the longest so that a lost server's ranges move
     * sooner.
     */
    const val HOLD: Long = 7_000

    /** Interval between two grants of a range; a third of the hold. */
    const val RENEWAL_INTERVAL: Long = 2_300

    /** Interval while the table does not respond; each grant is then renewed for [LONGEST_GRANT]. */
    const val OUTAGE_RENEWAL_INTERVAL: Long = 1_000

    /** Hold of a fencing grant, which only has to last until the release that follows. */
    const val FENCING_HOLD: Long = 1_500

    /** Timeout of a grant or release call. */
    const val ORDER_TIMEOUT: Long = 1_500

    /** Delay before a failed call is repeated. */
    const val RETRY_DELAY: Long = 300

    /** Largest difference between the wall clocks of servers and instances; clock steps of two seconds occur. */
    const val CLOCK_MARGIN: Long = 2_500

    /** A server's clock may run two percent slow (bound set by the platform). */
    private const val CLOCK_DRIFT_PERCENT = 2
    private const val PERCENT = 100

    /** Transit time of a call, including one retransmission. */
    private const val TRANSIT = 200L

    /** Longest time for which a server may hold a range under any grant that is sent now. */
    const val LONGEST_HOLD: Long = LONGEST_GRANT + LONGEST_GRANT * CLOCK_DRIFT_PERCENT / PERCENT + TRANSIT

    /** Longest time for which a server may hold a range under a fencing grant that is sent now and then times out. */
    val LONGEST_FENCING_HOLD: Long = ORDER_TIMEOUT + longestHold(FENCING_HOLD)

    /**
     * Longest time for which a server may hold a range under a grant for [hold] that has just been answered or timed
     * out.
     */
    fun longestHold(hold: Long): Long = hold + hold * CLOCK_DRIFT_PERCENT / PERCENT + TRANSIT
}
