/*
 * Reads a service's configuration from YAML and reports all of its errors together.
 */
package rhubarbspool.configuration

import arrow.core.Either
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.settings.DurationText
import rhubarbspool.settings.SettingsError
import rhubarbspool.settings.SettingsReader
import rhubarbspool.settings.address
import rhubarbspool.settings.choice
import rhubarbspool.settings.duration
import rhubarbspool.settings.flag
import rhubarbspool.settings.number
import rhubarbspool.settings.size
import rhubarbspool.settings.text

/** Reads configurations from YAML. */
object ConfigurationReader {
    private const val NAME_FORMAT = "lower-case letters, digits and hyphens, at most 63"
    private const val MAXIMUM_SHARDS = 65_536L
    private const val MAXIMUM_SERVERS = 2_000
    private const val MAXIMUM_ROUTES = 100
    private const val MAXIMUM_SLOTS = 1_024L
    private const val MAXIMUM_CONNECTIONS = 65_536L
    private const val MAXIMUM_QUEUE = 100_000L
    private const val MAXIMUM_BODY_BYTES = 16_777_216L
    private const val MINIMUM_DEADLINE_MILLISECONDS = 5L
    private const val MAXIMUM_DEADLINE_MILLISECONDS = 600_000L
    private const val MINIMUM_SILENCE_MILLISECONDS = 50L
    private const val MINIMUM_MOVE_MILLISECONDS = 2_000L
    private const val MAXIMUM_MOVE_MILLISECONDS = 86_400_000L
    private const val MAXIMUM_COMPLETIONS = 10_000L
    private val NAME = Regex("[a-z0-9][a-z0-9-]{0,62}")
    private val PATH = Regex("""(/[A-Za-z0-9._~-]+)*/\{key}(/[A-Za-z0-9._~-]+)*""")
    private val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    private val DEADLINE_RANGE = MINIMUM_DEADLINE_MILLISECONDS..MAXIMUM_DEADLINE_MILLISECONDS

    /** Reads [text]; returns all of its errors when there are any. */
    fun read(text: String): Either<List<SettingsError>, ServiceConfiguration> = SettingsReader.read(text, ::readService)

    private fun readService(reader: SettingsReader): ServiceConfiguration {
        val configuration = ServiceConfiguration(
            service = ServiceName(reader.text("service", NAME, NAME_FORMAT)),
            shards = reader.number("shards", 1L..MAXIMUM_SHARDS).toInt(),
            routes = reader.sections("routes", 1..MAXIMUM_ROUTES, ::readRoute),
            servers = reader.sections("servers", 1..MAXIMUM_SERVERS, ::readServer),
            moveAfterMilliseconds = readWhenCutOff(reader),
            repeatWindowMilliseconds = reader.duration(
                "repeatWindow",
                DEADLINE_RANGE.first..MAXIMUM_MOVE_MILLISECONDS,
                ServiceConfiguration.DEFAULT_REPEAT_WINDOW_MILLISECONDS,
            ),
            limits = reader.section("limits", ::readLimits),
            coldStart = reader.section("coldStart", ::readColdStart),
        )
        ConfigurationChecks.check(reader, configuration)
        return configuration
    }

    private fun readWhenCutOff(reader: SettingsReader): Long? {
        val text = reader.text("whenCutOff", ConfigurationWriter.HOLD)
        if (text == ConfigurationWriter.HOLD) return null
        val range = MINIMUM_MOVE_MILLISECONDS..MAXIMUM_MOVE_MILLISECONDS
        val duration = DurationText.parse(text)?.takeIf { it in range }
        if (duration == null) {
            reader.addError("whenCutOff", "\"$text\"", "hold, or a duration from 2s to 24h after which keys move")
        }
        return duration
    }

    private fun readRoute(reader: SettingsReader) = Route(
        name = reader.text("name", NAME, NAME_FORMAT),
        method = reader.choice("method", METHODS) { it },
        path = reader.text("path", PATH, "a path with one {key} segment, such as /boats/{key}"),
        kind = reader.choice("kind", RunKind.entries) { it.label },
        priority = reader.choice("priority", Priority.entries, Priority.NORMAL) { it.label },
        coalesce = reader.flag("coalesce", false),
        deadlineMilliseconds = reader.duration("deadline", DEADLINE_RANGE, Limits.DEFAULT_DEADLINE_MILLISECONDS),
    )

    private fun readServer(reader: SettingsReader) = BackendServer(
        name = ServerName(reader.text("name", NAME, NAME_FORMAT)),
        address = reader.address("address"),
        domain = FailureDomainName(reader.text("domain", NAME, NAME_FORMAT)),
        checksGrants = reader.flag("checksGrants"),
    )

    private fun readLimits(reader: SettingsReader): Limits {
        val default = Limits()
        val sizeRange = 0L..MAXIMUM_BODY_BYTES
        return Limits(
            slots = reader.number("slots", 1L..MAXIMUM_SLOTS, default.slots.toLong()).toInt(),
            connections = reader.number("connections", 1L..MAXIMUM_CONNECTIONS, default.connections.toLong()).toInt(),
            maximumExecutionMilliseconds =
            reader.duration("maximumExecution", DEADLINE_RANGE, default.maximumExecutionMilliseconds),
            requestBodyBytes = reader.size("requestBody", sizeRange, default.requestBodyBytes),
            coalescedAnswerBytes = reader.size("coalescedAnswer", sizeRange, default.coalescedAnswerBytes),
            queueLength = reader.number("queueLength", 1L..MAXIMUM_QUEUE, default.queueLength.toLong()).toInt(),
            silenceMilliseconds = reader.duration(
                "silence",
                MINIMUM_SILENCE_MILLISECONDS..MAXIMUM_DEADLINE_MILLISECONDS,
                default.silenceMilliseconds,
            ),
        )
    }

    private fun readColdStart(reader: SettingsReader) = ColdStart(
        slots = reader.number("slots", 1L..MAXIMUM_SLOTS, 1).toInt(),
        completions =
        reader.number("completions", 1L..MAXIMUM_COMPLETIONS, ColdStart.DEFAULT_COMPLETIONS.toLong()).toInt(),
    )
}
