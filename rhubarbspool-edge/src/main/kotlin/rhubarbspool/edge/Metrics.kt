/*
 * Metrics in the Prometheus text format, and the metrics and health endpoints that both daemons serve.
 */
package rhubarbspool.edge

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

/** Registry of the metrics of one process. */
class Metrics {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    /** Registers a counter [name] without labels. */
    fun counter(name: String, help: String): Counter = Counter.builder().name(name).help(help).register(registry)

    /** Registers a counter [name] with one [label]. */
    fun counter(name: String, help: String, label: String): Counter =
        Counter.builder().name(name).help(help).labelNames(label).register(registry)

    /** Registers a counter [name] with the labels [first] and [second]. */
    fun counter(name: String, help: String, first: String, second: String): Counter =
        Counter.builder().name(name).help(help).labelNames(first, second).register(registry)

    /** Registers a gauge [name] without labels. */
    fun gauge(name: String, help: String): Gauge = Gauge.builder().name(name).help(help).register(registry)

    /** Registers a gauge [name] with one [label]. */
    fun gauge(name: String, help: String, label: String): Gauge =
        Gauge.builder().name(name).help(help).labelNames(label).register(registry)

    /** Registers a histogram [name] of durations in seconds with one [label]. */
    fun histogram(name: String, help: String, label: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(label)
            .classicLinearUpperBounds(FIRST_BUCKET_SECONDS, BUCKET_WIDTH_SECONDS, BUCKETS).classicOnly()
            .register(registry)

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        const val FIRST_BUCKET_SECONDS = 0.001
        const val BUCKET_WIDTH_SECONDS = 0.004
        const val BUCKETS = 26
    }
}

/** Serves `/metrics`, `/health/live` and `/health/ready`. */
class HealthAndMetricsHandler(private val metrics: Metrics, private val ready: () -> Boolean) : HttpHandler {
    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> =
        CompletableFuture.completedFuture(answer(call.path.substringBefore('?')))

    private fun answer(path: String): HttpAnswer = when (path) {
        "/metrics" -> HttpAnswer(OK, TEXT_HEADERS, metrics.text())
        "/health/live" -> HttpAnswer(OK, TEXT_HEADERS, "live\n")
        "/health/ready" -> readiness()
        else -> HttpAnswer(NOT_FOUND, TEXT_HEADERS, "unknown path\n")
    }

    private fun readiness(): HttpAnswer =
        if (ready()) HttpAnswer(OK, TEXT_HEADERS, "ready\n") else HttpAnswer(UNAVAILABLE, TEXT_HEADERS, "not ready\n")

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        val TEXT_HEADERS = mapOf("content-type" to "text/plain; charset=utf-8")
    }
}
