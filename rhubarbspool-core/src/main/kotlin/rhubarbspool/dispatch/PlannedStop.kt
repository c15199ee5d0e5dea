/*
 * What an instance still takes on after a planned stop began. While it is in the platform's rotation it takes every
 * request; later only one whose deadline passes before the process ends, since a request that is cut off has an unknown
 * outcome, while a refused one can be sent to another instance at once.
 */
package rhubarbspool.dispatch

/** A planned stop that began at [beganAt] and ends the process at [endsAt], in monotonic milliseconds. */
class PlannedStop(beganAt: Long, val endsAt: Long) {
    /** Time at which no new connections are expected. */
    val leftRotationAt: Long = minOf(endsAt, beganAt + ROTATION_MILLISECONDS)

    /** Deadline of the last response that is still delivered. */
    val lastDeadlineAt: Long = endsAt - DELIVERY_MILLISECONDS

    /** Whether a request with [deadlineAt] that arrives at [now] is run. */
    fun admits(deadlineAt: Long, now: Long): Boolean = now < leftRotationAt || deadlineAt <= lastDeadlineAt

    private companion object {
        /** The platform removes an instance from rotation after two failed readiness checks, a second apart. */
        const val ROTATION_MILLISECONDS = 2_300L

        /** Time for a response that a server sends at the deadline to arrive, and to be delivered. */
        const val DELIVERY_MILLISECONDS = 300L
    }
}
