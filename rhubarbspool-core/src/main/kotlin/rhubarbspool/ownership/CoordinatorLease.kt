/*
 * Who coordinates: the holder of one row in the platform's table. The holder rewrites the row while it lives; another
 * instance takes it over once it has not changed for the lease time and a margin. The holder counts its time on both
 * clocks, since the monotonic one stands still while a machine is suspended.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Now

/** The next step of an instance that coordinates or might. */
enum class LeaseStep { NOTHING, READ, WRITE }

/**
 * The lease as one process sees it. Not thread-safe.
 *
 * @param self names the instance and its address and, after the last slash, this life of its process.
 */
class CoordinatorLease(private val self: String) {
    private val row = LeaseRow(self)
    private var readStartedAt = NEVER
    private var heldSince: Now? = null
    private var writeInFlight: Now? = null
    private var writeStartedAt = NEVER
    private var lastWriteFailed = false

    /** Whether another process may have coordinated since this one last did. */
    var isInterrupted: Boolean = true
        private set

    /** Version that a write must be conditional on. */
    val expectedVersion: Long get() = maxOf(row.version, 0)

    /** The holder that was last seen, if any. */
    val knownHolder: String? get() = row.holder

    /** Whether this instance may coordinate at [now]. */
    fun isHeld(now: Now): Boolean {
        val since = heldSince ?: return false
        val monotonicAge = now.monotonic - since.monotonic
        val wallAge = now.wall - since.wall
        return monotonicAge < LEASE_MILLISECONDS && wallAge < LEASE_MILLISECONDS
    }

    /** Whether a renewal failed, or has gone unanswered for so long at [now] that the table counts as troubled. */
    fun isTableUnavailable(now: Now): Boolean =
        heldSince?.let { lastWriteFailed || now.monotonic - it.monotonic > UNAVAILABLE_AFTER_MILLISECONDS } ?: false

    /** What to do at [now] for an instance that is [rank]th in line. */
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

    /** Notes that [step] was begun at [now]. */
    fun onStepStarted(step: LeaseStep, now: Now) {
        if (step == LeaseStep.READ) readStartedAt = now.monotonic
        if (step == LeaseStep.WRITE) {
            writeInFlight = now
            writeStartedAt = now.monotonic
        }
    }

    /** Takes in at [now] that the row names [holder] in [version]; version 0 when there is none. */
    fun onRowRead(holder: String?, version: Long, now: Now) {
        if (row.onRowRead(holder, version, now.monotonic) && holder != self) relinquish()
    }

    /** Takes in that the row could not be read at [now]. */
    fun onReadFailed(now: Now) = row.onReadFailed(now.monotonic)

    /** Takes in that the write succeeded as [version] at [now]. */
    fun onWritten(version: Long, now: Now) {
        heldSince = writeInFlight
        writeInFlight = null
        lastWriteFailed = false
        isInterrupted = false
        row.onRowRead(self, version, now.monotonic)
    }

    /** Takes in that the write's outcome is not known, or that it failed; the row is read again. */
    fun onWriteFailed() {
        writeInFlight = null
        lastWriteFailed = true
        readStartedAt = NEVER
    }

    /** Gives up what this instance holds. */
    fun relinquish() {
        heldSince = null
        isInterrupted = true
    }

    private fun readInterval(rank: Int): Long =
        READ_INTERVALS_MILLISECONDS.getOrElse(rank) { FALLBACK_READ_INTERVAL_MILLISECONDS }

    companion object {
        private const val NEVER = Long.MIN_VALUE / 2

        /** How long one write lets its holder coordinate, from when it was sent. */
        const val LEASE_MILLISECONDS: Long = 2_400

        /** How long the row must be unchanged before another instance writes it: the hold and a tenth. */
        const val TAKEOVER_MILLISECONDS: Long = 2_640
        private const val RENEWAL_INTERVAL_MILLISECONDS = 1_000L
        private const val UNAVAILABLE_AFTER_MILLISECONDS = 1_500L
        private const val WRITE_RETRY_MILLISECONDS = 250L

        /** Reads of those first in line; the others only make sure that somebody does. */
        private val READ_INTERVALS_MILLISECONDS = listOf(1_000L, 5_000L)
        private const val FALLBACK_READ_INTERVAL_MILLISECONDS = 30_000L
    }
}
