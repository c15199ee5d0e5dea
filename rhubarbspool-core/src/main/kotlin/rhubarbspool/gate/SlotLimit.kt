/*
 * Concurrency limit of one server. A cold server starts with the slots configured for a cold start and gains slots by
 * answering as fast as it did when it was warm, never by its own health report. A server that turns cold without
 * notice is recognised by its service times.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ColdStart

/** Adaptive number of slots of one server. All durations are milliseconds. */
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

    /** Whether fewer than all of the server's slots may be used. */
    val isCold: Boolean get() = allowed < slots

    /** Replaces the limits; the slots in use are reduced to [slots] at once. */
    fun resize(slots: Int, coldStart: ColdStart) {
        this.slots = slots
        this.coldStart = coldStart
        allowed = minOf(allowed, slots)
    }

    /** Returns to the slots of a cold server, because the server is cold or may be. */
    fun resetToCold() {
        allowed = minOf(coldStart.slots, slots)
        startWindow()
        slowWindows = 0
    }

    /** Records an answer after a service time of [milliseconds]; may add a slot or reset to cold. */
    fun recordAnswer(milliseconds: Long) {
        val time = maxOf(milliseconds.toDouble(), 1.0)
        recentMean = if (recentMean == 0.0) time else recentMean + RECENT_WEIGHT * (time - recentMean)
        answerCount++
        totalMilliseconds += time
        if (!isCold && warmMean > 0 && recentMean > warmMean * COLD_FACTOR) resetToCold()
        if (answerCount >= coldStart.completions) endWindow(totalMilliseconds / answerCount)
    }

    /** Halves the allowed requests, because the server shed one. */
    fun onShed() {
        allowed = maxOf(1, allowed / 2)
        startWindow()
    }

    /** Ends a window of answers: a [mean] near the warm mean adds a slot; many slow windows raise the warm mean. */
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
