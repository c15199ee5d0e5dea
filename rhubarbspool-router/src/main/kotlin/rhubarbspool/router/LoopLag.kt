/*
 * How far the event loop is behind. A loop that is far behind would miss its leases; it sheds new requests first.
 */
package rhubarbspool.router

/** Lag of a loop that should tick every [intervalMilliseconds]; times are monotonic milliseconds. */
internal class LoopLag(private val intervalMilliseconds: Long) {
    private var lastTickAt: Long? = null
    private var smoothedLag = 0.0

    /** Whether new requests should be refused. */
    val isExcessive: Boolean get() = smoothedLag > EXCESSIVE_MILLISECONDS

    /** The loop ticked at [now]. */
    fun onTick(now: Long) {
        val lag = lastTickAt?.let { maxOf(0, now - it - intervalMilliseconds) } ?: 0
        lastTickAt = now
        smoothedLag += WEIGHT * (lag - smoothedLag)
    }

    private companion object {
        const val EXCESSIVE_MILLISECONDS = 40.0
        const val WEIGHT = 0.3
    }
}
