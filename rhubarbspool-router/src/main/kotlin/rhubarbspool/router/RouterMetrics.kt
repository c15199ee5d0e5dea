/*
 * Prometheus metrics of the router.
 */
package rhubarbspool.router

import rhubarbspool.edge.Metrics
import rhubarbspool.errors.ErrorKind

/** Counters and histograms of one router. */
internal class RouterMetrics(metrics: Metrics) {
    private val answers = metrics.counter("rhubarbspool_answers", "Answers to callers", "service", "status")
    private val errors = metrics.counter(
        "rhubarbspool_errors",
        "Answers that the system made up itself",
        "kind"
    )
    private val seconds = metrics.histogram("rhubarbspool_request_seconds", "Time from request to answer", "service")
    private val runs = metrics.counter("rhubarbspool_server_runs", "Calls sent to backend servers", "service")
    private val shared = metrics.counter(
        "rhubarbspool_shared_answers",
        "Requests that shared another's call",
        "service"
    )
    private val forwards = metrics.counter("rhubarbspool_forwards", "Requests sent on to another instance")
    private val waiting = metrics.gauge("rhubarbspool_waiting", "Requests that wait at a gate", "server")
    private val allowed = metrics.gauge("rhubarbspool_slots_allowed", "Slots that a gate uses", "server")

    /** Records a response to a caller and the time since its request. */
    fun recordAnswer(service: String, status: Int, milliseconds: Long) {
        answers.labelValues(service, "$status").inc()
        seconds.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts an error response of [kind]. */
    fun recordRefusal(kind: ErrorKind) = errors.labelValues(kind.name.lowercase()).inc()

    /** Counts a call sent to a backend server. */
    fun recordRun(service: String) = runs.labelValues(service).inc()

    /** Counts a request that shares a call already in flight. */
    fun recordShared(service: String) = shared.labelValues(service).inc()

    /** Counts a request forwarded to another instance. */
    fun recordForward() = forwards.inc()

    /** Updates the gauges of one gate. */
    fun updateGate(server: String, waitingRequests: Int, allowedSlots: Int) {
        waiting.labelValues(server).set(waitingRequests.toDouble())
        allowed.labelValues(server).set(allowedSlots.toDouble())
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
