/*
 * How many requests a server is given at once. A cold server starts at what it can carry and earns slots by
 * answers in time, never by its own health report. A server that turns cold without warning is recognised by
 * its service times.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ColdStart

/** Slots of one server. All durations are milliseconds. */
class SlotLimit(private var slots: Int, private var coldStart: ColdStart) {
    private var earned = 0
    private var slowInRow = 0
    private var recent = 0.0
    private var baseline = 0.0

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
        earned = 0
        slowInRow = 0
    }

    /** Takes in an answer that took [milliseconds]. */
    fun answered(milliseconds: Long) {
        val time = maxOf(milliseconds.toDouble(), 1.0)
        recent = if (recent == 0.0) time else recent + RECENT_WEIGHT * (time - recent)
        val slow = baseline > 0 && time > baseline * SLOW_FACTOR
        slowInRow = if (slow) slowInRow + 1 else 0
        if (slowInRow >= SLOW_IN_ROW) {
            if (!cold) becameCold()
            baseline = minOf(recent, baseline * BASELINE_GROWTH)
            slowInRow = 0
        }
        if (!slow) earn(time)
    }

    /** The server refused a request for overload. */
    fun shed() {
        allowed = maxOf(1, allowed / 2)
        earned = 0
    }

    private fun earn(time: Double) {
        baseline = if (baseline == 0.0) time else baseline + BASELINE_WEIGHT * (time - baseline)
        earned++
        if (earned < coldStart.completions) return
        earned = 0
        allowed = minOf(slots, allowed + 1)
    }

    private companion object {
        const val RECENT_WEIGHT = 0.2
        const val BASELINE_WEIGHT = 0.02
        const val SLOW_FACTOR = 5.0
        const val SLOW_IN_ROW = 3
        const val BASELINE_GROWTH = 1.5
    }
}
