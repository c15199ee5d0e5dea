/*
 * Commands that need only local files: the questionnaire and the check of configurations.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.mordant.terminal.prompt
import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.configuration.ConfigurationWriter
import rhubarbspool.configuration.Question
import rhubarbspool.configuration.Questionnaire
import rhubarbspool.settings.SettingsError

/** Asks for the properties of a service, or reads them from a file, and writes its configuration. */
internal class QuestionnaireCommand : CliktCommand(name = "questionnaire") {
    private val answers by option("--answers", help = "Read the answers from this YAML file instead of prompting")
        .file(mustExist = true, canBeDir = false)
    private val output by option("--output", help = "Write the configuration to this file instead of standard output")
        .file(canBeDir = false)

    override fun help(context: Context): String =
        "Asks questions about a service and writes its configuration.\n\n" +
            "Example: rhubarbspool questionnaire --answers samples/phewa/booking-ledger.answers.yaml " +
            "--output ledger.yaml"

    override fun run() {
        val document = answers?.readText() ?: askQuestions()
        Questionnaire.configure(document).fold({ rejectDocument("answers", it) }, { configuration ->
            val text = ConfigurationWriter.write(configuration)
            ConfigurationReader.read(text).onLeft { rejectDocument("answers", it) }
            output?.writeText(text) ?: echo(text, trailingNewline = false)
        })
    }

    private fun askQuestions(): String = Questionnaire.questions.joinToString("\n") { question ->
        echo("\n${question.text}\n  ${question.cost}")
        if (question.id == "servers") "servers:\n${askServers()}" else "${question.id}: ${askQuestion(question)}"
    }

    private fun askQuestion(question: Question): String =
        terminal.prompt(question.id, default = question.default) ?: question.default.orEmpty()

    private fun askServers(): String = generateSequence {
        terminal.prompt("server (empty to end)", default = "")?.takeIf { it.isNotBlank() }
    }.joinToString("\n") { "  - $it" }
}

/** Validates configurations without a running system. */
internal class CheckCommand : CliktCommand(name = "check") {
    private val files by argument(
        "file",
        help = "Configurations to check"
    ).file(mustExist = true).multiple(required = true)

    override fun help(context: Context): String =
        "Checks configurations and prints all errors.\n\nExample: rhubarbspool check samples/phewa/*-configuration.yaml"

    override fun run() {
        val invalidFiles = files.filter { file ->
            val errors = ConfigurationReader.read(file.readText()).leftOrNull().orEmpty()
            errors.forEach { echo("$file: $it", err = true) }
            if (errors.isEmpty()) echo("$file: valid")
            errors.isNotEmpty()
        }
        if (invalidFiles.isNotEmpty()) throw ProgramResult(ExitCodes.INVALID_DOCUMENT)
    }
}

/** Prints the [errors] of the document [name] and exits with [ExitCodes.INVALID_DOCUMENT]. */
internal fun CliktCommand.rejectDocument(name: String, errors: List<SettingsError>): Nothing {
    errors.forEach { echo("$name: $it", err = true) }
    throw ProgramResult(ExitCodes.INVALID_DOCUMENT)
}
