/*
 * `rhubarbspool trace`: prints the logged decisions about one request in order of time, with the fields of each entry.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Prints the log entries of one request, collected from the logs of several instances. */
internal class TraceCommand : CliktCommand(name = "trace") {
    private val id by argument("id", help = "Id of the request")
    private val files by argument("log", help = "Log files of instances, with one JSON object per line")
        .file(mustExist = true).multiple(required = true)

    private class LogLine(val time: String, val source: String, val decision: String, val fields: String)

    override fun help(context: Context): String =
        "Prints the decisions about a request from the logs of instances.\n\n" +
            "Example: rhubarbspool trace 9c41d07be2a35f68 logs/*.log"

    override fun run() {
        val lines = files.flatMap { file ->
            file.useLines { lines ->
                lines.mapNotNull {
                    parseLine(
                        file.name,
                        it
                    )
                }.toList()
            }
        }
        lines.sortedBy { it.time }.forEach { echo("${it.time} ${it.source} ${it.decision} ${it.fields}") }
        if (lines.isEmpty()) {
            echo("no line names the request $id", err = true)
            throw ProgramResult(ExitCodes.FAILED)
        }
    }

    private fun parseLine(source: String, text: String): LogLine? {
        val json = parseJson(text.substring(maxOf(0, text.indexOf('{'))))?.takeIf { it.value("request") == id }
        return json?.let {
            val fields = it.keys.filterNot(HEADER_FIELDS::contains)
                .joinToString(" ") { name -> "$name=${it.value(name)}" }
            LogLine(it.value("@timestamp").orEmpty(), source, it.value("message").orEmpty(), fields)
        }
    }

    private fun parseJson(text: String): JsonObject? = try {
        Json.parseToJsonElement(text) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

    private fun JsonObject.value(name: String): String? = (get(name) as? JsonPrimitive)?.content

    private companion object {
        val HEADER_FIELDS = setOf("@timestamp", "message", "level", "request")
    }
}
