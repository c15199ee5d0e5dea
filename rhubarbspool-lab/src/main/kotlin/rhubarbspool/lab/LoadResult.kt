/*
 * Results of a load run.
 */
package rhubarbspool.lab

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles in milliseconds over a set of measurements. */
@Serializable
internal data class Percentiles(
    val count: Long,
    val p50: Double,
    val p99: Double,
    val p999: Double,
    val max: Double,
) {
    companion object {
        private const val MEDIAN = 50.0
        private const val PERCENTILE_99 = 99.0
        private const val PERCENTILE_99_9 = 99.9
        private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

        /** Percentiles of [histogram], whose values are microseconds. */
        fun of(histogram: Histogram) = Percentiles(
            histogram.totalCount,
            histogram.getValueAtPercentile(MEDIAN) / MICROSECONDS_PER_MILLISECOND,
            histogram.getValueAtPercentile(PERCENTILE_99) / MICROSECONDS_PER_MILLISECOND,
            histogram.getValueAtPercentile(PERCENTILE_99_9) / MICROSECONDS_PER_MILLISECOND,
            histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
        )
    }
}

/** Number of requests with the result [answer]: served, an error status, or a connection failure. */
@Serializable
internal data class AnswerCount(val answer: String, val count: Long)

/**
 * Result of a load run.
 *
 * @property latency latencies of served requests.
 * @property unserved percentiles over keys of the longest time between two served requests for the key.
 * @property moved retries at another instance after a refused connection.
 */
@Serializable
internal data class LoadResult(
    val sent: Long,
    val served: Long,
    val answers: List<AnswerCount>,
    val latency: Percentiles,
    val unserved: Percentiles,
    val moved: Long,
)
