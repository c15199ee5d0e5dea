/*
 * `rhubarbspool-lab experiment`: runs experiments and writes their results as JSON and plots.
 */
package rhubarbspool.lab

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.io.File

/** The subcommand `experiment`. */
internal class ExperimentCommand : CliktCommand(name = "experiment") {
    private val experiments by argument("name", help = "Experiments to run; all of them if none is given")
        .choice(Experiments.all.associateBy { it.name }).multiple()
    private val seed by option("--seed", help = "Seed; equal seeds give equal results").long().default(1)
    private val output by option("--output", help = "Directory for the JSON results and plots").file(canBeFile = false)
        .default(File("docs/measurements"))

    override fun help(context: Context): String =
        "Simulates gates with a small model of backend servers and compares policies.\n\n" +
            "Example: rhubarbspool-lab experiment load cold --seed 1 --output docs/measurements"

    override fun run() {
        output.mkdirs()
        experiments.ifEmpty { Experiments.all }.forEach(::run)
    }

    private fun run(experiment: Experiment) {
        echo("\n${experiment.name}: ${experiment.question}")
        echo(TABLE_HEADER)
        val outcomes = experiment.scenarios.flatMap { scenario ->
            experiment.variants.map { variant ->
                Simulation(scenario, variant, seed).run().also { echo(formatRow(it)) }
            }
        }
        File(output, "${experiment.name}.json").writeText(JSON.encodeToString(outcomes) + "\n")
        Plots.write(experiment, outcomes, File(output, experiment.name))
    }

    private fun formatRow(outcome: Outcome): String = ROW_FORMAT.format(
        outcome.scenario,
        outcome.loadFactor,
        outcome.variant,
        outcome.goodput,
        outcome.latency.p50,
        outcome.latency.p99,
        outcome.latency.p999,
        outcome.runsPerAnswer,
        outcome.late,
        outcome.fellOver,
        outcome.mostAtColdServer,
    )

    private companion object {
        const val ROW_FORMAT = "%-14s %5.2f %-18s %7.3f %7.1f %7.1f %7.1f %6.2f %6.3f %5d %5d"
        const val TABLE_HEADER =
            "scenario        load variant            goodput     p50     p99    p999   runs   late falls  cold"
        val JSON = Json { prettyPrint = true }
    }
}
