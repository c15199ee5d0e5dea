/*
 * The coordinator's row as one process has seen it, and whether it may be taken over.
 */
package rhubarbspool.ownership

/** The row as seen by [self]: an instance, its address and, after the last slash, the life of its process. */
internal class LeaseRow(private val self: String) {
    private var unchangedSince = 0L

    /** Version of the row; 0 when there is none, negative before it was read. */
    var version = NOT_READ
        private set

    /** The holder that was last seen, if any. */
    var holder: String? = null
        private set

    /** Whether the row was read or written yet. */
    val isKnown: Boolean get() = version != NOT_READ

    /** Takes in at [now] that the row names [holder] in [version]; false when that is older than what is known. */
    fun onRowRead(holder: String?, version: Long, now: Long): Boolean {
        if (version < this.version) return false
        if (version != this.version) unchangedSince = now
        this.version = version
        this.holder = holder
        return true
    }

    /** Takes in that the row could not be read at [now]: its holder may not have been able to renew it either. */
    fun onReadFailed(now: Long) {
        unchangedSince = now
    }

    /** Whether the instance that is [rank]th in line may write the row at [now]. */
    fun mayWrite(rank: Int, now: Long): Boolean {
        val unchangedFor = now - unchangedSince
        val rankDelay = rank * RANK_DELAY_MILLISECONDS
        return when {
            version == 0L -> unchangedFor >= rankDelay
            holder == self || isPreviousIncarnation() -> true
            else -> unchangedFor >= CoordinatorLease.TAKEOVER_MILLISECONDS + rankDelay
        }
    }

    /** An address has one process at a time, so that the start of this one proves the end of its former life. */
    private fun isPreviousIncarnation(): Boolean = holder?.substringBeforeLast('/') == self.substringBeforeLast('/')

    private companion object {
        const val NOT_READ = -1L

        /** Instances take turns, so that the first in line meets no other's write. */
        const val RANK_DELAY_MILLISECONDS = 350L
    }
}
