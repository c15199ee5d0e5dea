/*
 * Whether the platform's table was out a moment ago, as far as one instance can tell: its own call failed, or several
 * instances said that theirs do. One instance that can't read proves nothing: it may be cut off by itself.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** Remembers failures of the table. All times are monotonic milliseconds. */
class TableOutage {
    private var failedAt = LONG_AGO
    private val resignedAt = HashMap<InstanceName, Long>()

    /** A call of this instance failed at [now]. */
    fun failed(now: Long) {
        failedAt = now
    }

    /** [instance] said at [now] that it can't read the table. */
    fun resigned(instance: InstanceName, now: Long) {
        resignedAt.values.removeAll { now - it > TOGETHER_MILLISECONDS }
        resignedAt[instance] = now
        if (resignedAt.size > 1) failedAt = now
    }

    /** Whether entries that are missing at [now] may have lapsed in an outage. */
    fun isRecent(now: Long): Boolean = now - failedAt < RECENT_MILLISECONDS

    private companion object {
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** Living servers register again within about two seconds of the table's return (platform's contract). */
        const val RECENT_MILLISECONDS = 2_000L

        /** Readers that follow one another resign within about this time of each other in an outage. */
        const val TOGETHER_MILLISECONDS = 3_000L
    }
}
