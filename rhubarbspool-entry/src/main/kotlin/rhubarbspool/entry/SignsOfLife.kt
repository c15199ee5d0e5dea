/*
 * Bounds how often another instance may ask for nothing but a sign of life, so that answering is no work without end.
 */
package rhubarbspool.entry

/** Counts the messages of one connection. */
internal class SignsOfLife {
    private var intervalStart = Long.MIN_VALUE
    private var count = 0

    /** Records a message at [now], in monotonic milliseconds; returns whether there were too many of them. */
    fun isExcessive(now: Long): Boolean {
        if (intervalStart == Long.MIN_VALUE || now - intervalStart >= INTERVAL_MILLISECONDS) {
            intervalStart = now
            count = 0
        }
        count++
        return count > MAXIMUM_COUNT
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 1_000L

        /** An instance sends versions every 200 ms and pings every 150 ms, and some more after it was suspended. */
        const val MAXIMUM_COUNT = 100
    }
}
