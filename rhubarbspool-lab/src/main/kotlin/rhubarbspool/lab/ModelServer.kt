/*
 * A small model of a backend server: concurrency slots, a queue of waiting calls, a cold phase after a start, and
 * crashes under overload while cold.
 */
package rhubarbspool.lab

import kotlin.math.ln
import kotlin.random.Random

/** A call at a server; [onFinished] is called with true when the response is complete, false when it was lost. */
internal class ModelCall(val onFinished: (Boolean) -> Unit) {
    var cancelled = false
}

/** One server on the simulated clock of [simulation]; times are in milliseconds. */
internal class ModelServer(
    private val simulation: Simulation,
    private val random: Random,
    private val serviceMilliseconds: Double,
) {
    private val waiting = ArrayDeque<ModelCall>()
    private val running = LinkedHashSet<ModelCall>()
    private var coldUntil = 0.0
    private var downUntil = 0.0

    /** Current factor on the service time. */
    var slowFactor = 1.0

    /** Share of calls whose connection breaks before the response is complete. */
    var brokenShare = 0.0
    var fellOver = 0
        private set
    var mostWhileCold = 0
        private set
    var runs = 0L
        private set
    var late = 0L
        private set

    /** Whether connections are refused. */
    val isDown: Boolean get() = simulation.now < downUntil
    private val isCold: Boolean get() = simulation.now < coldUntil

    /** Makes the server cold without notifying its senders. */
    fun becomeCold() {
        coldUntil = simulation.now + COLD_MILLISECONDS
    }

    /** Crashes, loses all its calls, and comes back cold. */
    fun restart() {
        val lost = running + waiting
        running.clear()
        waiting.clear()
        downUntil = simulation.now + DOWN_MILLISECONDS
        coldUntil = downUntil + COLD_MILLISECONDS
        lost.forEach { it.onFinished(false) }
    }

    /** Starts or enqueues [call]; a cold server with too many calls crashes instead. */
    fun receive(call: ModelCall) {
        waiting += call
        if (isCold) mostWhileCold = maxOf(mostWhileCold, running.size + waiting.size)
        if (isCold && running.size + waiting.size > COLD_CAPACITY) {
            fellOver++
            restart()
        } else {
            startNext()
        }
    }

    /** Cancels [call]; returns whether it was still queued. A running call runs to its end and counts as late. */
    fun cancel(call: ModelCall): Boolean {
        call.cancelled = true
        return waiting.remove(call)
    }

    private fun startNext() {
        while (running.size < SLOTS && waiting.isNotEmpty()) start(waiting.removeFirst())
    }

    private fun start(call: ModelCall) {
        running += call
        runs++
        val spread = HALF - HALF * ln(1 - random.nextDouble())
        val time = serviceMilliseconds * spread * slowFactor * (if (isCold) COLD_FACTOR else 1.0)
        simulation.after(time) { finish(call) }
    }

    private fun finish(call: ModelCall) {
        if (!running.remove(call)) return
        if (call.cancelled) late++
        call.onFinished(random.nextDouble() >= brokenShare)
        startNext()
    }

    companion object {
        /** Requests that a server runs concurrently. */
        const val SLOTS: Int = 2
        private const val COLD_CAPACITY = 1
        private const val COLD_FACTOR = 4.0
        private const val COLD_MILLISECONDS = 3_000.0
        private const val DOWN_MILLISECONDS = 200.0
        private const val HALF = 0.5
    }
}
