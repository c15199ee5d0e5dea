/*
 * How many requests may wait in a pool. Under overload, waiting requests are overtaken by younger ones and refused in
 * the end. A short queue refuses them at once, so that the caller can still retry in time, and the requests that are
 * served are young. Otherwise the queue smooths out irregular arrivals.
 */
package rhubarbspool.dispatch

/**
 * Load on which the length of the queue depends.
 *
 * @property timeToDue milliseconds until the newest request is due.
 * @property meanServiceTime mean service time of a request in milliseconds.
 * @property slots total slots of all servers, as far as limits that the servers have named let requests use them.
 * @property arrivalsPerSecond submitted requests per second, including refused ones.
 */
internal data class PoolLoad(
    val timeToDue: Long,
    val meanServiceTime: Double,
    val slots: Double,
    val arrivalsPerSecond: Double,
) {
    /** Slots that all arriving requests would occupy, as a share of the existing slots. */
    val utilisation: Double
        get() = arrivalsPerSecond * meanServiceTime / MILLISECONDS_PER_SECOND / (if (slots > 0) slots else 1.0)

    /** Number of requests that can wait with the last of them still answered by its due time. */
    val servableInTime: Double get() = (timeToDue - meanServiceTime) * slots / meanServiceTime

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}

/** Decides how many requests may wait. */
internal fun interface QueueLimit {
    /** Number of requests that may wait under [load]. */
    fun limitFor(load: PoolLoad): Int

    companion object {
        /** As many as can be answered in time, regardless of the arrival rate. */
        val IN_TIME = QueueLimit { maxOf(MINIMUM_LIMIT, it.servableInTime.toInt()) }

        /** As many as can be answered in time; fewer the more the arrival rate exceeds the capacity of the servers. */
        val BY_LOAD = QueueLimit { load ->
            val overload =
                ((load.utilisation - FULL_UTILISATION) / (OVERLOAD_UTILISATION - FULL_UTILISATION)).coerceIn(0.0, 1.0)
            val share = NORMAL_SHARE - (NORMAL_SHARE - OVERLOAD_SHARE) * overload
            maxOf(if (overload < 1) MINIMUM_LIMIT else 1, (load.servableInTime * share).toInt())
        }

        private const val MINIMUM_LIMIT = 2

        /** Up to this utilisation a queue drains by itself; the arrival rate is only known to within about a tenth. */
        private const val FULL_UTILISATION = 1.1

        /** From this utilisation on, a third of all requests can't be served, and waiting helps none of them. */
        private const val OVERLOAD_UTILISATION = 1.5

        /** Limit as a share of the requests that can wait in time; above 1, since some are cancelled meanwhile. */
        private const val NORMAL_SHARE = 1.25

        /** The same share under overload: enough to keep the slots busy between two arrivals. */
        private const val OVERLOAD_SHARE = 0.1
    }
}
