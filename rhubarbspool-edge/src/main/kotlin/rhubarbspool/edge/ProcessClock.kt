/*
 * The clocks of this process. Decision code never reads them: it is handed the present time.
 */
package rhubarbspool.edge

import rhubarbspool.model.Now
import java.util.concurrent.TimeUnit

/** Reads the present time. */
object ProcessClock {
    /** The present time of this process. */
    fun now(): Now = Now(monotonic(), System.currentTimeMillis())

    /** Milliseconds of the monotonic clock. */
    fun monotonic(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
}
