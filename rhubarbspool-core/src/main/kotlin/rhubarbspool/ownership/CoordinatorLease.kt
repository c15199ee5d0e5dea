/*
 * Lease that elects the coordinator: the holder of one row in the platform's table. The holder rewrites the row
 * periodically; another instance takes it over when the row has not changed for the lease duration plus a margin. The
 * holder measures the lease on the wall clock as well as the monotonic clock, which stops while a machine is suspended.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now

/** Next step of the lease protocol. */
enum class LeaseStep { NOTHING, READ, WRITE }

/**
 * State of the lease in one process. Not thread-safe.
 *
 * @param self identifies the instance, its address and, after the last slash, the incarnation of its process.
 */
class CoordinatorLease(private val self: String) {
    private val row = LeaseRow(self)
    private var readStartedAt = NEVER
    private var heldSince: Now? = null
    private var writeInFlight: Now? = null
    private var writeStartedAt = NEVER
    private var lastWriteFailed = false

    /** Whether another process may have coordinated since this one last held the lease. */
    var isInterrupted: Boolean = true
        private set

    /** Version of the row that the next write is conditional on; 0 if there is no row. */
    val expectedVersion: Long get() = maxOf(row.version, 0)

    /** Holder in the last known version of the row, if any. */
    val knownHolder: String? get() = row.holder

    /** Whether this instance may coordinate at [now]. */
    fun isHeld(now: Now): Boolean {
        val since = heldSince ?: return false
        val monotonicAge = now.monotonic - since.monotonic
        val wallAge = now.wall - since.wall
        return monotonicAge < LEASE_MILLISECONDS && wallAge < LEASE_MILLISECONDS
    }

    /** Whether the last renewal failed or has been unanswered for so long that the table counts as unavailable. */
    fun isTableUnavailable(now: Now): Boolean =
        heldSince?.let { lastWriteFailed || now.monotonic - it.monotonic > UNAVAILABLE_AFTER_MILLISECONDS } ?: false

    /** Returns the next step for an instance of [rank], 0 being first in line to take over. */
    fun nextStep(rank: Int, now: Now): LeaseStep {
        if (writeInFlight != null) return LeaseStep.NOTHING
        val since = heldSince
        return when {
            since != null && now.monotonic - since.monotonic < RENEWAL_INTERVAL_MILLISECONDS -> LeaseStep.NOTHING
            now.monotonic - writeStartedAt < WRITE_RETRY_MILLISECONDS -> LeaseStep.NOTHING
            row.isKnown && (since != null || row.mayWrite(rank, now.monotonic)) -> LeaseStep.WRITE
            now.monotonic - readStartedAt >= readInterval(rank) -> LeaseStep.READ
            else -> LeaseStep.NOTHING
        }
    }

    /** Records that the request for [step] is sent at [now]. */
    fun onStepStarted(step: LeaseStep, now: Now) {
        if (step == LeaseStep.READ) readStartedAt = now.monotonic
        if (step == LeaseStep.WRITE) {
            writeInFlight = now
            writeStartedAt = now.monotonic
        }
    }

    /**
     * Records that the row has [holder] and [version], 0 if there is no row, in [tableVersion] of the table and in its
     * [epoch]. Drops the lease if another process holds it. A table that was restored has an earlier holder, so the
     * lease is then kept while it lasts, since all others wait for longer than that, and is dropped otherwise.
     */
    fun onRowRead(holder: String?, version: Long, now: Now, epoch: Long = 0, tableVersion: Long = version) {
        val isRestored = row.isRestored(epoch)
        if (!row.onRowRead(holder, version, tableVersion, epoch, now.monotonic)) return
        val isLost = if (isRestored) !isHeld(now) else holder != self
        if (isLost) relinquish()
    }

    /** Records that reading the row failed, which restarts the wait for a takeover. */
    fun onReadFailed(now: Now) = row.onReadFailed(now.monotonic)

    /** Records that the write succeeded as [version]; the lease starts at the time that the write was sent. */
    fun onWritten(version: Long, now: Now, epoch: Long = 0) {
        heldSince = writeInFlight
        writeInFlight = null
        lastWriteFailed = false
        isInterrupted = false
        row.onRowRead(self, version, version, epoch, now.monotonic)
    }

    /** Records that the write failed or that its outcome is unknown; the row is read again. */
    fun onWriteFailed() {
        writeInFlight = null
        lastWriteFailed = true
        readStartedAt = NEVER
    }

    /** Stops coordinating at once; the row is left as it is. */
    fun relinquish() {
        heldSince = null
        isInterrupted = true
    }

    private fun readInterval(rank: Int): Long =
        READ_INTERVALS_MILLISECONDS.getOrElse(rank) { FALLBACK_READ_INTERVAL_MILLISECONDS }

    companion object {
        private const val NEVER = Long.MIN_VALUE / 2

        /** How long a write lets its holder coordinate, counted from when it was sent. */
        const val LEASE_MILLISECONDS: Long = 2_400

        /** How long the row must be unchanged before another instance may write it: the lease plus a tenth. */
        const val TAKEOVER_MILLISECONDS: Long = 2_640
        private const val RENEWAL_INTERVAL_MILLISECONDS = 1_000L

        /**
         * A renewal is answered within tens of milliseconds. What is left of the lease must suffice to renew all grants
         * for the longest hold.
         */
        private const val UNAVAILABLE_AFTER_MILLISECONDS = 1_200L
        private const val WRITE_RETRY_MILLISECONDS = 250L

        /**
         * Read intervals by rank. Instances of lower priority read rarely, in case the first ones fail to take over.
         */
        private val READ_INTERVALS_MILLISECONDS = listOf(1_000L, 5_000L)
        private const val FALLBACK_READ_INTERVAL_MILLISECONDS = 30_000L
    }
}
