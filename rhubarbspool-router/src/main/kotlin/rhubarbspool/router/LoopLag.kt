/*
 * Measures the lag of the event loop. A loop that lags too far would not renew its leases in time, so the router sheds
 * new requests before that.
 */
package rhubarbspool.router

/** Smoothed lag of a loop that ticks every [intervalMilliseconds]; times are monotonic milliseconds. */
internal class LoopLag(private val intervalMilliseconds: Long) {
    private var lastTickAt: Long? = null
    private var smoothedLag = 0.0

    /** Whether the lag is so large that new requests must be shed. */
    val isExcessive: Boolean get() = smoothedLag > EXCESSIVE_MILLISECONDS

    /** Records a tick of the loop at [now]. */
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
