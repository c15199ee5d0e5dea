/*
 * Metrics in Prometheus' text format, and the health endpoints that both daemons serve.
 */
package rhubarbspool.edge

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

/** The metrics of one process. */
class Metrics {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    /** A counter called [name] with [labels]. */
    fun counter(name: String, help: String, labels: List<String> = emptyList()): Counter =
        Counter.builder().name(name).help(help).also { builder ->
            if (labels.isNotEmpty()) builder.labelNames(*labels.toTypedArray())
        }.register(registry)

    /** A gauge called [name] with [labels]. */
    fun gauge(name: String, help: String, labels: List<String> = emptyList()): Gauge =
        Gauge.builder().name(name).help(help).also { builder ->
            if (labels.isNotEmpty()) builder.labelNames(*labels.toTypedArray())
        }.register(registry)

    /** A histogram of seconds called [name] by [label]. */
    fun histogram(name: String, help: String, label: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(label)
            .classicUpperBounds(*SECONDS).classicOnly().register(registry)

    /** All metrics as text. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        val SECONDS = doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.017, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
    }
}

/** Serves `/metrics`, `/health/live` and `/health/ready`. */
class ObservationHandler(private val metrics: Metrics, private val ready: () -> Boolean) : HttpHandler {
    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> =
        CompletableFuture.completedFuture(answer(call.path.substringBefore('?')))

    private fun answer(path: String): HttpAnswer = when (path) {
        "/metrics" -> HttpAnswer(OK, TEXT, metrics.text())
        "/health/live" -> HttpAnswer(OK, TEXT, "live\n")
        "/health/ready" -> readiness()
        else -> HttpAnswer(NOT_FOUND, TEXT, "unknown path\n")
    }

    private fun readiness(): HttpAnswer =
        if (ready()) HttpAnswer(OK, TEXT, "ready\n") else HttpAnswer(UNAVAILABLE, TEXT, "not ready\n")

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        val TEXT = mapOf("content-type" to "text/plain; charset=utf-8")
    }
}
