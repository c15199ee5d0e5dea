/*
 * A sequence of calls and waits, one at a time. It can tell that it has stopped, because whatever was to go on with it
 * failed or was lost.
 */
package rhubarbspool.entry

import java.util.concurrent.CompletableFuture

/** The sequence [name]; a new call or wait replaces the present one, whose result is then ignored. */
internal class CallSequence(private val context: ProcessContext, private val name: String) {
    private var current = 0L
    private var dueAt = 0L

    /** When the last call was sent, in monotonic milliseconds. */
    var startedAt = 0L
        private set

    /** Ends the present call or wait. */
    fun cancel() {
        current++
    }

    /** Whether the present call or wait should have ended before [now]. */
    fun isOverdue(now: Long): Boolean = now > dueAt

    /** Sends a call that ends within [limit] milliseconds, and passes its result to [onResult]. */
    fun <T> call(limit: Long, send: () -> CompletableFuture<T>, onResult: (T?, Throwable?) -> Unit) {
        val number = ++current
        startedAt = context.clock()
        dueAt = startedAt + MARGIN_MILLISECONDS
        val response = send()
        dueAt = startedAt + limit + MARGIN_MILLISECONDS
        context.tasks.onResult(name, response) { result, failure ->
            if (number == current) {
                dueAt = context.clock() + MARGIN_MILLISECONDS
                onResult(result, failure)
            }
        }
    }

    /** Runs [action] after [milliseconds]. */
    fun schedule(milliseconds: Long, action: () -> Unit) {
        val number = ++current
        dueAt = context.clock() + milliseconds + MARGIN_MILLISECONDS
        context.tasks.schedule(name, milliseconds) { if (number == current) action() }
    }

    private companion object {
        /** A step of the sequence follows the last one within this time, also on a busy machine. */
        const val MARGIN_MILLISECONDS = 3_000L
    }
}
