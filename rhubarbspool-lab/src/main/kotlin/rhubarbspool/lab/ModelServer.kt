/*
 * A small model of a backend server: slots, a line of waiting calls, coldness, and falling over.
 */
package rhubarbspool.lab

import kotlin.math.ln
import kotlin.random.Random

/** A call at a server; [onFinished] hears when the server has run it, or false when it was lost. */
internal class ModelCall(val onFinished: (Boolean) -> Unit) {
    var cancelled = false
}

/** One server on the clock of [simulation]; times are milliseconds. */
internal class ModelServer(
    private val simulation: Simulation,
    private val random: Random,
    private val serviceMilliseconds: Double,
) {
    private val waiting = ArrayDeque<ModelCall>()
    private val running = LinkedHashSet<ModelCall>()
    private var coldUntil = 0.0
    private var downUntil = 0.0

    /** How much slower the server is for now. */
    var slowFactor = 1.0

    /** Share of calls that break off. */
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

    /** Turns cold without a word. */
    fun becomeCold() {
        coldUntil = simulation.now + COLD_MILLISECONDS
    }

    /** Dies and comes back cold. */
    fun restart() {
        val lost = running + waiting
        running.clear()
        waiting.clear()
        downUntil = simulation.now + DOWN_MILLISECONDS
        coldUntil = downUntil + COLD_MILLISECONDS
        lost.forEach { it.onFinished(false) }
    }

    /** Takes in a call. */
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

    /** Takes back a call that waits; false when it runs already. */
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
        /** Requests that a server runs at once. */
        const val SLOTS: Int = 2
        private const val COLD_CAPACITY = 1
        private const val COLD_FACTOR = 4.0
        private const val COLD_MILLISECONDS = 3_000.0
        private const val DOWN_MILLISECONDS = 200.0
        private const val HALF = 0.5
    }
}
