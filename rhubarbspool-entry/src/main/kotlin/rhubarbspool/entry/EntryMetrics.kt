/*
 * Counters and latency histograms of the entry process.
 */
package rhubarbspool.entry

import rhubarbspool.edge.Metrics

/** Records the metrics of this process. */
internal class EntryMetrics(metrics: Metrics) {
    private val answers = metrics.counter("rhubarbspool_answers", "Answers to callers", "service", "status")
    private val refusals = metrics.counter("rhubarbspool_refusals", "Answers that the router made up itself", "reason")
    private val calls = metrics.counter("rhubarbspool_calls", "Calls to backend servers by their end", "outcome")
    private val disorders = metrics.counter(
        "rhubarbspool_disordered_connections",
        "Connections that delivered anything but the response to their request",
        "disorder"
    )
    private val seconds = metrics.histogram("rhubarbspool_answer_seconds", "Time from request to answer", "service")
    private val tableFailures = metrics.counter(
        "rhubarbspool_table_failures",
        "Failed calls to the platform's table",
        "feed"
    )

    fun recordAnswer(service: String, status: Int, milliseconds: Long) {
        answers.labelValues(service, "$status").inc()
        seconds.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    fun recordRefusal(reason: String) = refusals.labelValues(reason).inc()

    fun recordCall(outcome: String) = calls.labelValues(outcome).inc()

    fun recordDisorder(disorder: String) = disorders.labelValues(disorder).inc()

    fun recordTableFailure(feed: String) = tableFailures.labelValues(feed).inc()

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
