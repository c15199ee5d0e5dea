/*
 * `rhubarbspool-lab capacity`: measures the cost of the production decision code and codecs at increasing sizes,
 * and fits a line to each measure.
 */
package rhubarbspool.lab

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import java.io.File
import kotlin.math.abs

/** One measured point: [value] in [unit] at [size]. */
@Serializable
internal data class CapacityPoint(val measure: String, val unit: String, val size: Int, val value: Double)

/**
 * Least-squares line through the points of a measure.
 *
 * @property spread largest distance of a point from the line, as a share of the largest value.
 */
@Serializable
internal data class CapacitySlope(
    val measure: String,
    val unit: String,
    val perUnit: Double,
    val base: Double,
    val spread: Double,
)

/** Result of a capacity run, written to `capacity.json`. */
@Serializable
internal data class CapacityReport(val points: List<CapacityPoint>, val slopes: List<CapacitySlope>)

/** The subcommand `capacity`. */
internal class CapacityCommand : CliktCommand(name = "capacity") {
    private val output by option("--output", help = "Directory for the JSON results and plots").file(canBeFile = false)
        .default(File("docs/measurements"))

    override fun help(context: Context): String =
        "Measures CPU time, message sizes and memory of the decision code at increasing system sizes.\n\n" +
            "Example: rhubarbspool-lab capacity --output docs/measurements"

    override fun run() {
        output.mkdirs()
        val points = CapacityMeasures.all.flatMap { measure ->
            measure.sizes.map { size ->
                val point = CapacityPoint(measure.name, measure.unit, size, measure.valueAt(size))
                echo("%-34s %8d %14.3f %s".format(point.measure, point.size, point.value, point.unit))
                point
            }
        }
        val slopes = points.groupBy { it.measure }.filterValues { it.size > 1 }.values.map(::fitLine)
        echo("\n%-34s %14s %14s %8s".format("slope", "per unit", "base", "spread"))
        slopes.forEach {
            echo(
                "%-34s %14.6f %14.3f %7.0f%% %s".format(it.measure, it.perUnit, it.base, it.spread * PERCENT, it.unit)
            )
        }
        File(output, "capacity.json").writeText(JSON.encodeToString(CapacityReport(points, slopes)) + "\n")
        points.groupBy { it.measure }.filterValues { it.size > 1 }.forEach(::writePlot)
    }

    private fun fitLine(points: List<CapacityPoint>): CapacitySlope {
        val meanSize = points.map { it.size.toDouble() }.average()
        val meanValue = points.map { it.value }.average()
        val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
        val slope = covariance / points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
        val base = meanValue - slope * meanSize
        val maxDeviation = points.maxOf { abs(base + slope * it.size - it.value) }
        val first = points.first()
        return CapacitySlope(first.measure, first.unit, slope, base, maxDeviation / points.maxOf { abs(it.value) })
    }

    private fun writePlot(measure: String, points: List<CapacityPoint>) {
        val chart = XYChartBuilder().width(WIDTH).height(HEIGHT).title(measure)
            .xAxisTitle("size").yAxisTitle(points.first().unit).build()
        chart.addSeries(measure, points.map { it.size.toDouble() }, points.map { it.value })
        val name = File(output, "capacity-${measure.replace(' ', '-')}").path
        BitmapEncoder.saveBitmap(chart, name, BitmapEncoder.BitmapFormat.PNG)
    }

    private companion object {
        const val PERCENT = 100
        const val WIDTH = 600
        const val HEIGHT = 350
        val JSON = Json { prettyPrint = true }
    }
}
