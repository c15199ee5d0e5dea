/*
 * Requests that wait to be tried again while a gate moves. They are tried when the router learns something new, and
 * else after a wait that doubles: trying each at a short fixed interval saturated the processors while a gate was
 * being taken over.
 */
package rhubarbspool.router

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Waiting tries; used on [loop] only. */
internal class RetryQueue(private val loop: EventLoop) {
    private class Wait(val action: () -> Unit) {
        var timer: Future<*>? = null
    }

    private val waits = LinkedHashSet<Wait>()

    /** Runs [action] when something new was learned, at the latest after the wait of try number [attempt]. */
    fun schedule(attempt: Int, action: () -> Unit) {
        val wait = Wait(action)
        waits += wait
        val milliseconds = minOf(LONGEST_MILLISECONDS, FIRST_MILLISECONDS shl minOf(attempt, MAXIMUM_DOUBLINGS))
        wait.timer = loop.schedule({ run(wait) }, milliseconds, TimeUnit.MILLISECONDS)
    }

    /** Something new was learned. */
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
