/*
 * How many requests a server is given at once. A cold server starts at what it can carry and earns slots by
 * answering as fast as it did when it was warm, never by its own health report. A server that turns cold without
 * warning is recognised by its service times.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ColdStart

/** Slots of one server. All durations are milliseconds. */
class SlotLimit(private var slots: Int, private var coldStart: ColdStart) {
    private var answerCount = 0
    private var totalMilliseconds = 0.0
    private var slowWindows = 0
    private var recentMean = 0.0
    private var warmMean = 0.0

    /** Requests that may run at once. */
    var allowed: Int = minOf(coldStart.slots, slots)
        private set

    /** Expected service time; 0 before the first answer. */
    val serviceTime: Double get() = recentMean

    /** Whether the server has not yet earned all of its slots. */
    val isCold: Boolean get() = allowed < slots

    /** Takes over new limits. */
    fun resize(slots: Int, coldStart: ColdStart) {
        this.slots = slots
        this.coldStart = coldStart
        allowed = minOf(allowed, slots)
    }

    /** Starts over: the server is known, or must be taken, to be cold. */
    fun resetToCold() {
        allowed = minOf(coldStart.slots, slots)
        startWindow()
        slowWindows = 0
    }

    /** Takes in an answer that took [milliseconds]. */
    fun recordAnswer(milliseconds: Long) {
        val time = maxOf(milliseconds.toDouble(), 1.0)
        recentMean = if (recentMean == 0.0) time else recentMean + RECENT_WEIGHT * (time - recentMean)
        answerCount++
        totalMilliseconds += time
        if (!isCold && warmMean > 0 && recentMean > warmMean * COLD_FACTOR) resetToCold()
        if (answerCount >= coldStart.completions) endWindow(totalMilliseconds / answerCount)
    }

    /** The server refused a request for overload. */
    fun onShed() {
        allowed = maxOf(1, allowed / 2)
        startWindow()
    }

    /** A window of answers is full: their mean time tells whether the server is warm. */
    private fun endWindow(mean: Double) {
        startWindow()
        val isWarm = warmMean == 0.0 || mean <= warmMean * WARM_FACTOR
        if (isWarm) {
            warmMean = if (warmMean == 0.0) mean else warmMean + WARM_WEIGHT * (mean - warmMean)
            slowWindows = 0
            allowed = minOf(slots, allowed + 1)
        } else if (++slowWindows >= SLOW_WINDOWS) {
            slowWindows = 0
            warmMean *= WARM_FACTOR
        }
    }

    private fun startWindow() {
        answerCount = 0
        totalMilliseconds = 0.0
    }

    private companion object {
        const val RECENT_WEIGHT = 0.2
        const val WARM_WEIGHT = 0.1
        const val WARM_FACTOR = 1.6
        const val COLD_FACTOR = 2.5
        const val SLOW_WINDOWS = 20
    }
}
