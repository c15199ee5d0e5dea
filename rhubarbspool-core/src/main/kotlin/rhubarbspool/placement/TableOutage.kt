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
    private var failedAt = LONG_AGO
    private var answered: LongRange? = null
    private val troubledAt = HashMap<InstanceName, Long>()

    /** A call of this instance that was sent at [sentAt] was answered. */
    fun answered(sentAt: Long) {
        val before = answered?.takeIf { sentAt - it.last <= GAP_MILLISECONDS }
        answered = if (before == null) sentAt..sentAt else before.first..maxOf(before.last, sentAt)
    }

    /** A call of this instance failed at [now]. */
    fun failed(now: Long) {
        failedAt = now
        answered = null
    }

    /** [instance] says that it could not read the table, the last time at [lastAt]. */
    fun resigned(instance: InstanceName, lastAt: Long) {
        troubledAt[instance] = lastAt
    }

    /** Whether entries that are missing at [now] may have lapsed in an outage. */
    fun isRecent(now: Long): Boolean = now - failedAt < RECENT_MILLISECONDS || isReported(now)

    private fun isReported(now: Long): Boolean {
        val latest = troubledAt.values.filterNot(::wasAnswered).sortedDescending()
        return latest.size > 1 && now - latest[0] < RECENT_MILLISECONDS && latest[0] - latest[1] < TOGETHER_MILLISECONDS
    }

    private fun wasAnswered(at: Long): Boolean = answered?.contains(at) ?: false

    private companion object {
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** Living servers register again within about two seconds of the table's return (platform's contract). */
        const val RECENT_MILLISECONDS = 2_000L

        /** An outage in which entries lapse lasts for two of the servers' heartbeats or more, which is longer. */
        const val GAP_MILLISECONDS = 1_000L

        /** Readers that follow one another resign within about this time of each other in an outage. */
        const val TOGETHER_MILLISECONDS = 3_000L
    }
}
