/*
 * Times of grants, in milliseconds.
 */
package rhubarbspool.ownership

/** How long servers hold ranges, and how often that is renewed. */
object HoldTimes {
    /** Longest hold that servers accept (platform's bound). */
    const val LONGEST_GRANT: Long = 10_000

    /** Usual hold; longer than a change of coordinator takes, shorter than the longest for lost servers' sake. */
    const val HOLD: Long = 7_000

    /** Time between two grants of a range; a third of the hold. */
    const val RENEWAL_INTERVAL: Long = 2_300

    /** While the table does not answer, every grant is soon renewed for the longest time. */
    const val OUTAGE_RENEWAL_INTERVAL: Long = 1_000

    /** A hold that only has to last until the release that follows. */
    const val FENCING_HOLD: Long = 1_500

    /** An order without an answer is given up after this time. */
    const val ORDER_TIMEOUT: Long = 1_500

    /** A call that failed is repeated after this time. */
    const val RETRY_DELAY: Long = 300

    /** Servers' and instances' wall clocks agree within this time; steps of two seconds happen. */
    const val CLOCK_MARGIN: Long = 2_500

    /** A server's clock may run two percent slow (platform's bound). */
    private const val CLOCK_DRIFT_PERCENT = 2
    private const val PERCENT = 100

    /** Time that an order is on its way, with a retransmission. */
    private const val TRANSIT = 200L

    /** The longest time for which a server may hold a range by a grant that was sent just now. */
    const val LONGEST_HOLD: Long = LONGEST_GRANT + LONGEST_GRANT * CLOCK_DRIFT_PERCENT / PERCENT + TRANSIT

    /** How long a server may hold a range by a fencing grant that is sent just now, and given up in the end. */
    val LONGEST_FENCING_HOLD: Long = ORDER_TIMEOUT + longestHold(FENCING_HOLD)

    /** How long a server may hold a range by a grant for [hold] that was answered, or given up, just now. */
    fun longestHold(hold: Long): Long = hold + hold * CLOCK_DRIFT_PERCENT / PERCENT + TRANSIT
}
