/*
 * Last known state of the coordinator's row, and whether this process may write it.
 */
package rhubarbspool.ownership

/** The row as seen by [self]: an instance, its address and, after the last slash, the incarnation of its process. */
internal class LeaseRow(private val self: String) {
    private var unchangedSince = 0L
    private var epoch = 0L
    private var restoredAt = NEVER

    /** Version of the row; 0 if there is no row, negative until it was read or written. */
    var version = NOT_READ
        private set

    /** Version of the table in which the row was last seen; a removed row has none of its own. */
    private var tableVersion = NOT_READ

    /** Holder in the last known version of the row, if any. */
    var holder: String? = null
        private set

    /** Whether the row has been read or written. */
    val isKnown: Boolean get() = version != NOT_READ

    /** Whether the table was restored since the row was last known, if it is in [epoch] now. */
    fun isRestored(epoch: Long): Boolean = isKnown && epoch > this.epoch

    /**
     * Records that the row has [holder] and [version] in [tableVersion] of the table and in its [epoch]; returns false
     * if a newer state is known.
     */
    fun onRowRead(holder: String?, version: Long, tableVersion: Long, epoch: Long, now: Long): Boolean {
        if (epoch < this.epoch || (epoch == this.epoch && tableVersion < this.tableVersion)) return false
        if (epoch > this.epoch) restoredAt = now
        if (epoch > this.epoch || version != this.version) unchangedSince = now
        this.epoch = epoch
        this.tableVersion = tableVersion
        this.version = version
        this.holder = holder
        return true
    }

    /** Restarts the wait for a takeover, since the holder may not have been able to renew the row either. */
    fun onReadFailed(now: Long) {
        unchangedSince = now
    }

    /** Whether an instance of [rank], 0 being first, may write the row at [now]. */
    fun mayWrite(rank: Int, now: Long): Boolean {
        val unchangedFor = now - unchangedSince
        val rankDelay = rank * RANK_DELAY_MILLISECONDS
        val mayTrustRow = now - restoredAt >= CoordinatorLease.TAKEOVER_MILLISECONDS
        return when {
            version == 0L && mayTrustRow -> unchangedFor >= rankDelay
            mayTrustRow && (holder == self || isPreviousIncarnation()) -> true
            else -> unchangedFor >= CoordinatorLease.TAKEOVER_MILLISECONDS + rankDelay
        }
    }

    /**
     * An address has one process at a time, so the start of this process proves that its previous incarnation ended.
     */
    private fun isPreviousIncarnation(): Boolean = holder?.substringBeforeLast('/') == self.substringBeforeLast('/')

    private companion object {
        const val NOT_READ = -1L
        const val NEVER = Long.MIN_VALUE / 2

        /** Delay per rank, so that the writes of several instances do not conflict. */
        const val RANK_DELAY_MILLISECONDS = 350L
    }
}
