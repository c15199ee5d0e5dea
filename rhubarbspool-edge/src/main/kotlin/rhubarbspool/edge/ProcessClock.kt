/*
 * The clocks of this process. Decision code never reads them; the current time is passed to it.
 */
package rhubarbspool.edge

import rhubarbspool.model.Now
import java.util.concurrent.TimeUnit

/** Reads the clocks of this process. */
object ProcessClock {
    /** Returns the current monotonic and wall-clock time. */
    fun now(): Now = Now(monotonic(), System.currentTimeMillis())

    /** Returns the monotonic clock's time in milliseconds. */
    fun monotonic(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
}
