/*
 * The deadline of a request, and the timer for what happens then.
 */
package rhubarbspool.entry

import java.util.concurrent.Future

/** Deadline [at], in monotonic milliseconds. */
internal class RequestDeadline(private val context: RequestContext, at: Long) {
    private var timer: Future<*>? = null
    private var action: () -> Unit = {}
    private var isExtended = false

    /** Time at which a request without a response fails. */
    var at: Long = at
        private set

    /** Runs [action] at the deadline. */
    fun start(action: () -> Unit) {
        this.action = action
        schedule(at)
    }

    /** Moves the deadline forward to [limit] if it is later; a timer that was extended stays as it is. */
    fun limit(limit: Long) {
        if (at <= limit) return
        at = limit
        if (timer != null && !isExtended) schedule(limit)
    }

    /** Runs [action] at [time] instead, for a request that gets the rest of its response after the deadline. */
    fun extend(time: Long, action: () -> Unit) {
        this.action = action
        isExtended = true
        schedule(time)
    }

    /** Stops the timer. */
    fun cancel() {
        timer?.cancel(false)
    }

    private fun schedule(time: Long) {
        timer?.cancel(false)
        timer = context.schedule(time - context.process.clock(), action)
    }
}
