/*
 * Tasks on the event loop. Whatever one of them throws is logged, and ends neither a later run of it nor another task:
 * a future keeps an exception of its callback to itself, and a repeated task is not repeated after one.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Runs tasks on [loop]; [name]s of tasks are for the log. */
internal class LoopTasks(private val loop: EventLoop, private val log: DecisionLog) {
    /** Runs [action] as soon as possible. */
    fun execute(name: String, action: () -> Unit) = loop.execute { guarded(name, action) }

    /** Runs [action] after [milliseconds]. */
    fun schedule(name: String, milliseconds: Long, action: () -> Unit): Future<*> =
        loop.schedule({ guarded(name, action) }, maxOf(0, milliseconds), TimeUnit.MILLISECONDS)

    /** Runs [action] now, and again each time after the milliseconds that it returns, or [fallback] if it fails. */
    fun repeat(name: String, fallback: Long, action: () -> Long) {
        var wait = fallback
        guarded(name) { wait = action() }
        loop.schedule({ repeat(name, fallback, action) }, wait, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] with the result of [future], or its failure, when it completes. */
    fun <T> onResult(name: String, future: CompletableFuture<T>, action: (T?, Throwable?) -> Unit) {
        future.whenComplete { result, failure -> guarded(name) { action(result, failure) } }
    }

    /** Runs [action]; returns whether it ended without an exception. */
    @Suppress("TooGenericExceptionCaught")
    fun guarded(name: String, action: () -> Unit): Boolean = try {
        action()
        true
    } catch (failure: Throwable) {
        log.fault("a task failed", "task" to name, "cause" to failure.stackTraceToString().take(MAXIMUM_CAUSE_LENGTH))
        false
    }

    private companion object {
        /** The trace of a stack overflow has a thousand lines. */
        const val MAXIMUM_CAUSE_LENGTH = 4_000
    }
}
