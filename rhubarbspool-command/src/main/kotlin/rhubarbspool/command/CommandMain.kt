/*
 * Entry point of `rhubarbspool`, the operators' command line.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Root command, which only holds the subcommands. */
class RhubarbspoolCommand : CliktCommand(name = "rhubarbspool") {
    init {
        subcommands(
            QuestionnaireCommand(),
            CheckCommand(),
            ApplyCommand(),
            StatusCommand(),
            ExplainCommand(),
            TraceCommand(),
            DrainCommand(draining = true),
            DrainCommand(draining = false),
            ReleaseQuarantineCommand(),
            AuditCommand(),
            CompletionCommand(name = "completion"),
        )
    }

    override fun help(context: Context): String =
        "Operates a rhubarbspool system.\n\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, " +
            "3 invalid document, 4 conflict with another operator's change, 5 the platform does not answer."

    override val printHelpOnEmptyArgs: Boolean = true

    override fun run() = Unit
}

/** Starts the command line. */
object CommandMain {
    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) = RhubarbspoolCommand().main(arguments)
}
