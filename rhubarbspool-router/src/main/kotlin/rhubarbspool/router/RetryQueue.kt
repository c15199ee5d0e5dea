/*
 * Requests that wait for a retry while a gate moves. They are retried when the routing state changes, otherwise after
 * an exponential delay: retrying each at a short fixed interval saturated the processors during a takeover.
 */
package rhubarbspool.router

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Pending retries; used on [loop] only. */
internal class RetryQueue(private val loop: EventLoop) {
    private class Wait(val action: () -> Unit) {
        var timer: Future<*>? = null
    }

    private val waits = LinkedHashSet<Wait>()

    /** Runs [action] on the next [retryAll], at the latest after the delay of retry number [attempt], from 0. */
    fun schedule(attempt: Int, action: () -> Unit) {
        val wait = Wait(action)
        waits += wait
        val milliseconds = minOf(LONGEST_MILLISECONDS, FIRST_MILLISECONDS shl minOf(attempt, MAXIMUM_DOUBLINGS))
        wait.timer = loop.schedule({ run(wait) }, milliseconds, TimeUnit.MILLISECONDS)
    }

    /** Runs all pending retries at once. */
    fun retryAll() = waits.toList().forEach(::run)

    private fun run(wait: Wait) {
        if (!waits.remove(wait)) return
        wait.timer?.cancel(false)
        wait.action()
    }

    private companion object {
        const val FIRST_MILLISECONDS = 25L
        const val LONGEST_MILLISECONDS = 400L
        const val MAXIMUM_DOUBLINGS = 4
    }
}
