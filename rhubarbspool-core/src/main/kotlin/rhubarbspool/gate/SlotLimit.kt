/*
 * How many requests a server is given at once. A cold server starts at what it can carry and earns slots by
 * answering as fast as it did when it was warm, never by its own health report. A server that turns cold without
 * warning is recognised by its service times.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ColdStart

/** Slots of one server. All durations are milliseconds. */
class SlotLimit(private var slots: Int, private var coldStart: ColdStart) {
    private var answers = 0
    private var sum = 0.0
    private var slowWindows = 0
    private var recent = 0.0
    private var warm = 0.0

    /** Requests that may run at once. */
    var allowed: Int = minOf(coldStart.slots, slots)
        private set

    /** Expected service time; 0 before the first answer. */
    val serviceTime: Double get() = recent

    /** Whether the server has not yet earned all of its slots. */
    val cold: Boolean get() = allowed < slots

    /** Takes over new limits. */
    fun resize(slots: Int, coldStart: ColdStart) {
        this.slots = slots
        this.coldStart = coldStart
        allowed = minOf(allowed, slots)
    }

    /** Starts over: the server is known, or must be taken, to be cold. */
    fun becameCold() {
        allowed = minOf(coldStart.slots, slots)
        startWindow()
        slowWindows = 0
    }

    /** Takes in an answer that took [milliseconds]. */
    fun answered(milliseconds: Long) {
        val time = maxOf(milliseconds.toDouble(), 1.0)
        recent = if (recent == 0.0) time else recent + RECENT_WEIGHT * (time - recent)
        answers++
        sum += time
        if (!cold && warm > 0 && recent > warm * TURNED_COLD_FACTOR) becameCold()
        if (answers >= coldStart.completions) endWindow(sum / answers)
    }

    /** The server refused a request for overload. */
    fun shed() {
        allowed = maxOf(1, allowed / 2)
        startWindow()
    }

    /** A window of answers is full: their mean time tells whether the server is warm. */
    private fun endWindow(mean: Double) {
        startWindow()
        val isWarm = warm == 0.0 || mean <= warm * WARM_FACTOR
        if (isWarm) {
            warm = if (warm == 0.0) mean else warm + WARM_WEIGHT * (mean - warm)
            slowWindows = 0
            allowed = minOf(slots, allowed + 1)
        } else if (++slowWindows >= SLOW_WINDOWS) {
            slowWindows = 0
            warm *= WARM_FACTOR
        }
    }

    private fun startWindow() {
        answers = 0
        sum = 0.0
    }

    private companion object {
        const val RECENT_WEIGHT = 0.2
        const val WARM_WEIGHT = 0.1
        const val WARM_FACTOR = 1.6
        const val TURNED_COLD_FACTOR = 2.5
        const val SLOW_WINDOWS = 20
    }
}
