/*
 * How many requests may wait in a pool. While it gets more than its servers can do, whoever waits there is overtaken by
 * younger requests and refused in the end: a short queue refuses at once, so that the caller can still come back in
 * time, and what is served is young. Otherwise waiting evens out the requests' uneven gaps.
 */
package rhubarbspool.dispatch

/**
 * What the room for waiting depends on.
 *
 * @property timeToDue milliseconds that the newest request has until it is due.
 * @property meanServiceTime milliseconds that a request usually takes.
 * @property slots slots of all servers together.
 * @property arrivalsPerSecond requests a second, refused ones included.
 */
internal data class PoolLoad(
    val timeToDue: Long,
    val meanServiceTime: Double,
    val slots: Int,
    val arrivalsPerSecond: Double,
) {
    /** Slots that the arrivals would take, as a share of those that there are. */
    val utilisation: Double get() = arrivalsPerSecond * meanServiceTime / MILLISECONDS_PER_SECOND / maxOf(1, slots)

    /** Requests that can wait so that the last of them is still answered when it is due. */
    val servableInTime: Double get() = (timeToDue - meanServiceTime) * slots / meanServiceTime

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}

/** Decides how many requests may wait. */
internal fun interface QueueLimit {
    /** Requests that may wait under [load]. */
    fun limitFor(load: PoolLoad): Int

    companion object {
        /** As many as can be answered in time, whatever arrives. */
        val IN_TIME = QueueLimit { maxOf(MINIMUM_LIMIT, it.servableInTime.toInt()) }

        /** Fewer the more arrives beyond what the servers can do. */
        val BY_LOAD = QueueLimit { load ->
            val overload =
                ((load.utilisation - FULL_UTILISATION) / (OVERLOAD_UTILISATION - FULL_UTILISATION)).coerceIn(0.0, 1.0)
            val share = NORMAL_SHARE - (NORMAL_SHARE - OVERLOAD_SHARE) * overload
            maxOf(if (overload < 1) MINIMUM_LIMIT else 1, (load.servableInTime * share).toInt())
        }

        private const val MINIMUM_LIMIT = 2

        /** Up to this load a queue empties again by itself; the rate of arrivals is only known to about a tenth. */
        private const val FULL_UTILISATION = 1.1

        /** From this load on a third of all requests can't be served, and waiting serves nobody. */
        private const val OVERLOAD_UTILISATION = 1.5

        /** Part of the requests that can wait in time; some that wait are given up meanwhile. */
        private const val NORMAL_SHARE = 1.25

        /** The same under excess: enough to keep slots busy between two requests. */
        private const val OVERLOAD_SHARE = 0.1
    }
}
