/*
 * Detects hot keys: keys that cause a large share of one server's runs.
 */
package rhubarbspool.router

/** Counts runs by key over fixed windows. Times are monotonic milliseconds. */
internal class HotKeyCounter {
    private var counts = HashMap<String, Int>()
    private var total = 0
    private var windowStart = 0L

    /** Hot keys of the last completed window. */
    var hot: Set<String> = emptySet()
        private set

    /** Counts a run for [key]. */
    fun recordRun(key: String, now: Long) {
        rollWindow(now)
        counts.merge(key, 1, Int::plus)
        total++
    }

    /** Starts a new window if the current one is over at [now]. */
    fun rollWindow(now: Long) {
        if (now - windowStart < WINDOW_MILLISECONDS) return
        hot = counts.filterValues { it >= MINIMUM_RUNS && it * HOT_SHARE_DIVISOR >= total }.keys.toSet()
        counts = HashMap()
        total = 0
        windowStart = now
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 2_000L
        const val MINIMUM_RUNS = 100
        const val HOT_SHARE_DIVISOR = 3
    }
}
