/*
 * Entry point of `rhubarbspool-lab`: load generation against a running system, experiments that simulate gates
 * with a small model of a backend server, and capacity measurements.
 */
package rhubarbspool.lab

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** The command `rhubarbspool-lab`, which only dispatches to its subcommands. */
class LabCommand : CliktCommand(name = "rhubarbspool-lab") {
    init {
        subcommands(LoadCommand(), ExperimentCommand(), CapacityCommand())
    }

    override fun help(context: Context): String = "Load tests, gate experiments and capacity measurements."

    override val printHelpOnEmptyArgs: Boolean = true

    override fun run() = Unit
}

/** Main class of `rhubarbspool-lab`. */
object LabMain {
    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) = LabCommand().main(arguments)
}
