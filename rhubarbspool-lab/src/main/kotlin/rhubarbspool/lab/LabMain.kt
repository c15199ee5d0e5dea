/*
 * Entry point of `rhubarbspool-lab`: load on a running system, experiments with the decision code over a small
 * model of a backend server, and capacity measurements.
 */
package rhubarbspool.lab

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** The command with its subcommands. */
class LabCommand : CliktCommand(name = "rhubarbspool-lab") {
    init {
        subcommands(LoadCommand(), ExperimentCommand(), CapacityCommand())
    }

    override fun help(context: Context): String = "Loads, experiments with, and measures a rhubarbspool system."

    override val printHelpOnEmptyArgs: Boolean = true

    override fun run() = Unit
}

/** Starts the lab. */
object LabMain {
    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) = LabCommand().main(arguments)
}
