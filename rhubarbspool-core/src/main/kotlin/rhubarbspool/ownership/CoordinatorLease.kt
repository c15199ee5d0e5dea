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
    private var readAt = LONG_AGO
    private var heldFrom: Now? = null
    private var pending: Now? = null
    private var triedAt = LONG_AGO
    private var isFailing = false

    /** Whether another process may have coordinated since this one last did. */
    var isInterrupted: Boolean = true
        private set

    /** Version that a write must be conditional on. */
    val condition: Long get() = maxOf(row.version, 0)

    /** The holder that was last seen, if any. */
    val knownHolder: String? get() = row.holder

    /** Whether this instance may coordinate at [now]. */
    fun isHeld(now: Now): Boolean {
        val from = heldFrom ?: return false
        val monotonic = now.monotonic - from.monotonic
        val wall = now.wall - from.wall
        return monotonic < HOLD_MILLISECONDS && wall < HOLD_MILLISECONDS
    }

    /** Whether a renewal failed, or has gone unanswered for so long at [now] that the table counts as troubled. */
    fun isTroubled(now: Now): Boolean =
        heldFrom?.let { isFailing || now.monotonic - it.monotonic > TROUBLED_MILLISECONDS } ?: false

    /** What to do at [now] for an instance that is [rank]th in line. */
    fun next(rank: Int, now: Now): LeaseStep {
        if (pending != null) return LeaseStep.NOTHING
        val from = heldFrom
        return when {
            from != null && now.monotonic - from.monotonic < RENEWAL_MILLISECONDS -> LeaseStep.NOTHING
            now.monotonic - triedAt < RETRY_MILLISECONDS -> LeaseStep.NOTHING
            row.isKnown && (from != null || row.isFree(rank, now.monotonic)) -> LeaseStep.WRITE
            now.monotonic - readAt >= readInterval(rank) -> LeaseStep.READ
            else -> LeaseStep.NOTHING
        }
    }

    /** Notes that [step] was begun at [now]. */
    fun began(step: LeaseStep, now: Now) {
        if (step == LeaseStep.READ) readAt = now.monotonic
        if (step == LeaseStep.WRITE) {
            pending = now
            triedAt = now.monotonic
        }
    }

    /** Takes in at [now] that the row names [holder] in [version]; version 0 when there is none. */
    fun observed(holder: String?, version: Long, now: Now) {
        if (row.observed(holder, version, now.monotonic) && holder != self) drop()
    }

    /** Takes in that the row could not be read at [now]. */
    fun unread(now: Now) = row.unread(now.monotonic)

    /** Takes in that the write succeeded as [version] at [now]. */
    fun written(version: Long, now: Now) {
        heldFrom = pending
        pending = null
        isFailing = false
        isInterrupted = false
        row.observed(self, version, now.monotonic)
    }

    /** Takes in that the write's outcome is not known, or that it failed; the row is read again. */
    fun unwritten() {
        pending = null
        isFailing = true
        readAt = LONG_AGO
    }

    /** Gives up what this instance holds. */
    fun drop() {
        heldFrom = null
        isInterrupted = true
    }

    private fun readInterval(rank: Int): Long = READ_MILLISECONDS.getOrElse(rank) { LAST_READ_MILLISECONDS }

    companion object {
        private const val LONG_AGO = Long.MIN_VALUE / 2

        /** How long one write lets its holder coordinate, from when it was sent. */
        const val HOLD_MILLISECONDS: Long = 2_400

        /** How long the row must be unchanged before another instance writes it: the hold and a tenth. */
        const val TAKEOVER_MILLISECONDS: Long = 2_640
        private const val RENEWAL_MILLISECONDS = 1_000L
        private const val TROUBLED_MILLISECONDS = 1_500L
        private const val RETRY_MILLISECONDS = 250L

        /** Reads of those first in line; the others only make sure that somebody does. */
        private val READ_MILLISECONDS = listOf(1_000L, 5_000L)
        private const val LAST_READ_MILLISECONDS = 30_000L
    }
}
