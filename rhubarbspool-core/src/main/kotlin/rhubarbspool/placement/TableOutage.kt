/*
 * Detects, from the view of one instance, a recent outage of the platform's table: its own call failed, or several
 * other instances could not read at about the same time. One other instance that can't read is no evidence, since it
 * may be partitioned alone; nor are several whose calls failed while calls of this instance succeeded. A report of
 * another instance counts for the time of the failure, not for the time at which it arrives.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** Records failures to read the table. All times are monotonic milliseconds. */
class TableOutage {
    private var failedAt = NEVER
    private var answeredRange: LongRange? = null
    private val unreadableAt = HashMap<InstanceName, Long>()

    /** Records that a call that this instance sent at [sentAt] succeeded. */
    fun recordAnswer(sentAt: Long) {
        val previous = answeredRange?.takeIf { sentAt - it.last <= MAXIMUM_ANSWER_GAP_MILLISECONDS }
        answeredRange = if (previous == null) sentAt..sentAt else previous.first..maxOf(previous.last, sentAt)
    }

    /** Records that a call of this instance failed at [now]. */
    fun recordFailure(now: Long) {
        failedAt = now
        answeredRange = null
    }

    /** Records that [instance] reported failures to read the table, the last one at [lastAt]. */
    fun recordResignation(instance: InstanceName, lastAt: Long) {
        unreadableAt[instance] = lastAt
    }

    /** Whether entries that are missing at [now] may have expired in an outage. */
    fun isRecent(now: Long): Boolean = now - failedAt < RECENT_MILLISECONDS || isReportedByOthers(now)

    private fun isReportedByOthers(now: Long): Boolean {
        val failures = unreadableAt.values.filterNot(::wasAnswered).sortedDescending()
        return failures.size > 1 && now - failures[0] < RECENT_MILLISECONDS &&
            failures[0] - failures[1] < SAME_OUTAGE_MILLISECONDS
    }

    private fun wasAnswered(at: Long): Boolean = answeredRange?.contains(at) ?: false

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Live servers register again within about two seconds after the table recovers (platform's contract). */
        const val RECENT_MILLISECONDS = 2_000L

        /** An outage in which entries expire lasts at least two heartbeat intervals of the servers, which is longer. */
        const val MAXIMUM_ANSWER_GAP_MILLISECONDS = 1_000L

        /** In an outage, successive readers resign within about this time of each other. */
        const val SAME_OUTAGE_MILLISECONDS = 3_000L
    }
}
