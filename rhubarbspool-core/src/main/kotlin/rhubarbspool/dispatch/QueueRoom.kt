/*
 * How many requests may wait in a pool. While it gets more than its servers can do, whoever waits there is overtaken by
 * younger requests and refused in the end: a short queue refuses at once, so that the caller can still come back in
 * time, and what is served is young. Otherwise waiting evens out the requests' uneven gaps.
 */
package rhubarbspool.dispatch

/**
 * What the room for waiting depends on.
 *
 * @property span milliseconds that the newest request has until it is due.
 * @property usual milliseconds that a request usually takes.
 * @property slots slots of all servers together.
 * @property arrivals requests a second, refused ones included.
 */
internal data class PoolLoad(val span: Long, val usual: Double, val slots: Int, val arrivals: Double) {
    /** Slots that the arrivals would take, as a share of those that there are. */
    val share: Double get() = arrivals * usual / MILLISECONDS_PER_SECOND / maxOf(1, slots)

    /** Requests that can wait so that the last of them is still answered when it is due. */
    val inTime: Double get() = (span - usual) * slots / usual

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}

/** Decides how many requests may wait. */
internal fun interface QueueRoom {
    /** Requests that may wait under [load]. */
    fun of(load: PoolLoad): Int

    companion object {
        /** As many as can be answered in time, whatever arrives. */
        val IN_TIME = QueueRoom { maxOf(SHORTEST_QUEUE, it.inTime.toInt()) }

        /** Fewer the more arrives beyond what the servers can do. */
        val BY_LOAD = QueueRoom { load ->
            val excess = ((load.share - FULL_LOAD) / (EXCESS_LOAD - FULL_LOAD)).coerceIn(0.0, 1.0)
            val part = LONG_SHARE - (LONG_SHARE - SHORT_SHARE) * excess
            maxOf(if (excess < 1) SHORTEST_QUEUE else 1, (load.inTime * part).toInt())
        }

        private const val SHORTEST_QUEUE = 2

        /** Up to this load a queue empties again by itself; the rate of arrivals is only known to about a tenth. */
        private const val FULL_LOAD = 1.1

        /** From this load on a third of all requests can't be served, and waiting serves nobody. */
        private const val EXCESS_LOAD = 1.5

        /** Part of the requests that can wait in time; some that wait are given up meanwhile. */
        private const val LONG_SHARE = 1.25

        /** The same under excess: enough to keep slots busy between two requests. */
        private const val SHORT_SHARE = 0.1
    }
}
