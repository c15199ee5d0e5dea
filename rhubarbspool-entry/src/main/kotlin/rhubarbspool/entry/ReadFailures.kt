/*
 * Failed reads of one feed in succession. While a feed is read without interruption, the first call without a response
 * says nothing about the table, since its connection may have gone silent while new ones work: it is repeated, and only
 * then counts as a failure. One that follows no recent response counts at once, since nothing shows that the table was
 * available shortly before.
 */
package rhubarbspool.entry

import java.util.concurrent.TimeoutException

/** Counts the failures since the last successful read. */
internal class ReadFailures {
    private var count = 0
    private var hasRepeated = false
    private var answeredAt = NEVER

    /** Monotonic time of the first failure; null while reading works. */
    var since: Long? = null
        private set

    /** Whether the call sent at [sentAt], which ended with [failure], is repeated on a new connection. */
    fun isRepeated(failure: Throwable, sentAt: Long): Boolean {
        val isSilence = generateSequence(failure) { it.cause }.any { it is TimeoutException }
        val wasAnswered = sentAt - answeredAt <= MAXIMUM_GAP_MILLISECONDS
        val isRepeated = isSilence && wasAnswered && !hasRepeated && since == null
        hasRepeated = isRepeated
        return isRepeated
    }

    /** Records a failure at [now]; returns the milliseconds to wait before the next call. */
    fun record(now: Long): Long {
        since = since ?: now
        return FIRST_RETRY_MILLISECONDS shl minOf(count++, MAXIMUM_DOUBLINGS)
    }

    /** Records a response at [now]. */
    fun onAnswer(now: Long) {
        answeredAt = now
        count = 0
        hasRepeated = false
        since = null
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** A feed that is read without interruption is called again within this time of a response. */
        const val MAXIMUM_GAP_MILLISECONDS = 1_000L
        const val FIRST_RETRY_MILLISECONDS = 200L
        const val MAXIMUM_DOUBLINGS = 2
    }
}
