/*
 * The coordinator's row as one process has seen it, and whether it may be taken over.
 */
package rhubarbspool.ownership

/** The row as seen by [self]: an instance, its address and, after the last slash, the life of its process. */
internal class LeaseRow(private val self: String) {
    private var seenAt = 0L

    /** Version of the row; 0 when there is none, negative before it was read. */
    var version = UNKNOWN
        private set

    /** The holder that was last seen, if any. */
    var holder: String? = null
        private set

    /** Whether the row was read or written yet. */
    val isKnown: Boolean get() = version != UNKNOWN

    /** Takes in at [now] that the row names [holder] in [version]; false when that is older than what is known. */
    fun observed(holder: String?, version: Long, now: Long): Boolean {
        if (version < this.version) return false
        if (version != this.version) seenAt = now
        this.version = version
        this.holder = holder
        return true
    }

    /** Takes in that the row could not be read at [now]: its holder may not have been able to renew it either. */
    fun unread(now: Long) {
        seenAt = now
    }

    /** Whether the instance that is [rank]th in line may write the row at [now]. */
    fun isFree(rank: Int, now: Long): Boolean {
        val unchanged = now - seenAt
        val turn = rank * TURN_MILLISECONDS
        return when {
            version == 0L -> unchanged >= turn
            holder == self || isFormerLife() -> true
            else -> unchanged >= CoordinatorLease.TAKEOVER_MILLISECONDS + turn
        }
    }

    /** An address has one process at a time, so that the start of this one proves the end of its former life. */
    private fun isFormerLife(): Boolean = holder?.substringBeforeLast('/') == self.substringBeforeLast('/')

    private companion object {
        const val UNKNOWN = -1L

        /** Instances take turns, so that the first in line meets no other's write. */
        const val TURN_MILLISECONDS = 350L
    }
}
