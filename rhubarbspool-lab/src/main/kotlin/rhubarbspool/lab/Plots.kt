/*
 * Plots of experiments.
 */
package rhubarbspool.lab

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import java.io.File

/** Bar charts of goodput and 99th percentile latency, grouped by scenario, one series per variant. */
internal object Plots {
    private const val WIDTH = 900
    private const val HEIGHT = 450

    /** Writes the charts to `[base]-goodput.png` and `[base]-p99.png`. */
    fun write(experiment: Experiment, outcomes: List<Outcome>, base: File) {
        save(createChart(experiment, "answered in time", outcomes) { it.goodput }, "$base-goodput")
        save(createChart(experiment, "p99 in ms", outcomes) { it.latency.p99 }, "$base-p99")
    }

    private fun createChart(
        experiment: Experiment,
        yAxis: String,
        outcomes: List<Outcome>,
        value: (Outcome) -> Double,
    ): CategoryChart {
        val chart = CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(experiment.question)
            .xAxisTitle("scenario").yAxisTitle(yAxis).build()
        outcomes.groupBy { it.variant }.forEach { (variant, points) ->
            chart.addSeries(variant, points.map { "${it.scenario} ${it.loadFactor}" }, points.map(value))
        }
        return chart
    }

    private fun save(chart: CategoryChart, name: String) =
        BitmapEncoder.saveBitmap(chart, name, BitmapEncoder.BitmapFormat.PNG)
}
