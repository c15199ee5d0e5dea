/*
 * Whether the platform's table was out a moment ago, as far as one instance can tell: its own call failed, or several
 * instances could not read at about the same time. One instance that can't read proves nothing, since it may be cut off
 * by itself, and neither do several whose calls failed while this one's were answered. What others say counts for the
 * time that it is about, not for the time at which it is heard.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** Remembers failures of the table. All times are monotonic milliseconds. */
class TableOutage {
    private var failedAt = NEVER
    private var answeredRange: LongRange? = null
    private val unreadableAt = HashMap<InstanceName, Long>()

    /** A call of this instance that was sent at [sentAt] was answered. */
    fun recordAnswer(sentAt: Long) {
        val previous = answeredRange?.takeIf { sentAt - it.last <= MAXIMUM_ANSWER_GAP_MILLISECONDS }
        answeredRange = if (previous == null) sentAt..sentAt else previous.first..maxOf(previous.last, sentAt)
    }

    /** A call of this instance failed at [now]. */
    fun recordFailure(now: Long) {
        failedAt = now
        answeredRange = null
    }

    /** [instance] says that it could not read the table, the last time at [lastAt]. */
    fun recordResignation(instance: InstanceName, lastAt: Long) {
        unreadableAt[instance] = lastAt
    }

    /** Whether entries that are missing at [now] may have lapsed in an outage. */
    fun isRecent(now: Long): Boolean = now - failedAt < RECENT_MILLISECONDS || isReportedByOthers(now)

    private fun isReportedByOthers(now: Long): Boolean {
        val failures = unreadableAt.values.filterNot(::wasAnswered).sortedDescending()
        return failures.size > 1 && now - failures[0] < RECENT_MILLISECONDS &&
            failures[0] - failures[1] < SAME_OUTAGE_MILLISECONDS
    }

    private fun wasAnswered(at: Long): Boolean = answeredRange?.contains(at) ?: false

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Living servers register again within about two seconds of the table's return (platform's contract). */
        const val RECENT_MILLISECONDS = 2_000L

        /** An outage in which entries lapse lasts for two of the servers' heartbeats or more, which is longer. */
        const val MAXIMUM_ANSWER_GAP_MILLISECONDS = 1_000L

        /** Readers that follow one another resign within about this time of each other in an outage. */
        const val SAME_OUTAGE_MILLISECONDS = 3_000L
    }
}
