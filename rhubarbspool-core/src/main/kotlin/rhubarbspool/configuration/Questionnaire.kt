/*
 * The questions from whose answers a new team's configuration is generated. Each question states what it decides
 * and what the answer costs. The answers are a YAML document with one entry for each question.
 */
package rhubarbspool.configuration

import arrow.core.Either
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.settings.SettingsError
import rhubarbspool.settings.SettingsReader
import rhubarbspool.settings.duration
import rhubarbspool.settings.flag
import rhubarbspool.settings.number
import rhubarbspool.settings.text

/**
 * One question of the questionnaire.
 *
 * @property id key of the answer in an answers file.
 * @property cost consequence or cost of the answer, shown with the question.
 * @property default answer used when none is given; null when the answer is required.
 */
data class Question(val id: String, val text: String, val cost: String, val default: String? = null)

/** The questionnaire that configures one service. */
object Questionnaire {
    /** Answer for a service that has no requests of the kind asked about. */
    const val NONE: String = "none"

    private const val MAXIMUM_SLOTS = 1_024L
    private const val MAXIMUM_CONNECTIONS = 65_536L
    private const val MAXIMUM_SHARDS = 65_536L
    private const val MINIMUM_MILLISECONDS = 5L
    private const val MAXIMUM_MILLISECONDS = 600_000L
    private const val MINIMUM_MOVE_MILLISECONDS = 2_000L
    private const val DEFAULT_READ_DEADLINE_MILLISECONDS = 2_000L
    private const val DEFAULT_BOOKING_DEADLINE_MILLISECONDS = 4_000L
    private const val DEFAULT_DOWNLOAD_DEADLINE_MILLISECONDS = 5_000L
    private const val DAY_MILLISECONDS = 86_400_000L
    private const val SERVER_FORMAT =
        "a name, an address and a failure domain, such as board-01 127.0.0.1:9101 gandaki-a"
    private val TIME_RANGE = MINIMUM_MILLISECONDS..MAXIMUM_MILLISECONDS

    /** The questions in the order in which they are shown. */
    val questions: List<Question> = listOf(
        Question(
            "service",
            "What is the service called?",
            "The name is the first part of every path that callers use."
        ),
        Question(
            "servers",
            "Which backend servers does it have? Name, address and failure domain of each.",
            "Keys are divided evenly between them.",
        ),
        Question(
            "checksGrants",
            "Do the servers refuse orders that carry no current grant? (true or false)",
            "If not, a key leaves a frozen server only after the longest run below.",
            "true",
        ),
        Question("slots", "How many requests does one warm server run at once?", "More are never sent to it.", "2"),
        Question("connections", "How many connections does one server take?", "More are never opened.", "250"),
        Question(
            "coldCarries",
            "How many requests at once can a server carry that has just started?",
            "Fewer is safer and makes its return slower.",
            "1",
        ),
        Question(
            "longestRun",
            "What is the longest time that a server works on one request?",
            "After a loss that leaves doubt, a key waits this long for its next server.",
            "5s",
        ),
        Question(
            "reads",
            "Path of reads that may be run twice, with {key}, or none.",
            "Reads are tried again on failure.",
            NONE
        ),
        Question(
            "readsPersonal",
            "Are the answers of reads personal to the caller? (true or false)",
            "If so, equal reads each cost a run of their own.",
            "false",
        ),
        Question(
            "readsWithin",
            "Within what time is an answer to a read of use?",
            "Later ones are refused early.",
            "2s"
        ),
        Question(
            "bookings",
            "Path of bookings that must never run twice, with {key}, or none.",
            "Each costs a record at the platform's table before it runs; callers must send an Idempotency-Key.",
            NONE,
        ),
        Question("bookingsWithin", "Within what time must a booking be answered?", "Later ones end as unknown.", "4s"),
        Question(
            "repeats",
            "For how long may a caller send a booking again under the same Idempotency-Key?",
            "Records are kept for so long; after a loss of records bookings are refused for so long.",
            "10m",
        ),
        Question(
            "downloads",
            "Path of downloads that may wait behind the rest, with {key}, or none.",
            "They go last.",
            NONE
        ),
        Question("downloadsWithin", "Within what time must a download begin and end?", "Later ones are cut.", "5s"),
        Question(
            "whenCutOff",
            "When a failure domain is cut off, do its keys stay with it (hold) or move after a time (such as 30s)?",
            "hold: callers elsewhere wait for the cut to end. A time: the cut domain stops serving them by then.",
            "hold",
        ),
        Question(
            "shards",
            "Into how many ranges are the keys divided?",
            "More spread finer and cost one row each.",
            "64"
        ),
    )

    /** Builds the configuration from the answers in [document]; returns all errors when there are any. */
    fun configure(document: String): Either<List<SettingsError>, ServiceConfiguration> =
        SettingsReader.read(document, ::build)

    private fun build(reader: SettingsReader): ServiceConfiguration {
        val longestRun = reader.duration("longestRun", TIME_RANGE, Limits.DEFAULT_MAXIMUM_EXECUTION_MILLISECONDS)
        val limits = Limits(
            slots = reader.number("slots", 1L..MAXIMUM_SLOTS, Limits.DEFAULT_SLOTS.toLong()).toInt(),
            connections =
            reader.number("connections", 1L..MAXIMUM_CONNECTIONS, Limits.DEFAULT_CONNECTIONS.toLong()).toInt(),
            maximumExecutionMilliseconds = longestRun,
            silenceMilliseconds = longestRun,
        )
        return ServiceConfiguration(
            service = ServiceName(reader.text("service")),
            shards = reader.number("shards", 1L..MAXIMUM_SHARDS, DEFAULT_SHARDS).toInt(),
            routes = routes(reader),
            servers = servers(reader),
            moveAfterMilliseconds = whenCutOff(reader),
            repeatWindowMilliseconds = reader.duration(
                "repeats",
                MINIMUM_MILLISECONDS..DAY_MILLISECONDS,
                ServiceConfiguration.DEFAULT_REPEAT_WINDOW_MILLISECONDS,
            ),
            limits = limits,
            coldStart = ColdStart(slots = reader.number("coldCarries", 1L..MAXIMUM_SLOTS, 1).toInt()),
        )
    }

    private fun whenCutOff(reader: SettingsReader): Long? =
        if (reader.text("whenCutOff", "hold") == "hold") {
            null
        } else {
            reader.duration("whenCutOff", MINIMUM_MOVE_MILLISECONDS..DAY_MILLISECONDS)
        }

    private fun routes(reader: SettingsReader): List<Route> = listOfNotNull(
        route(reader, "reads") { path ->
            val personal = reader.flag("readsPersonal", false)
            Route(
                "read",
                "GET",
                path,
                RunKind.REPEATABLE,
                Priority.NORMAL,
                !personal,
                deadline(reader, "readsWithin", DEFAULT_READ_DEADLINE_MILLISECONDS)
            )
        },
        route(reader, "bookings") { path ->
            Route(
                "book",
                "POST",
                path,
                RunKind.ONCE,
                Priority.HIGH,
                false,
                deadline(reader, "bookingsWithin", DEFAULT_BOOKING_DEADLINE_MILLISECONDS)
            )
        },
        route(reader, "downloads") { path ->
            Route(
                "download",
                "GET",
                path,
                RunKind.REPEATABLE,
                Priority.LOW,
                false,
                deadline(reader, "downloadsWithin", DEFAULT_DOWNLOAD_DEADLINE_MILLISECONDS)
            )
        },
    ).also { if (it.isEmpty()) reader.addError("reads", "no route at all", "a path for reads, bookings or downloads") }

    private fun route(reader: SettingsReader, id: String, build: (String) -> Route): Route? {
        val path = reader.text(id, NONE)
        val route = build(path)
        return route.takeIf { path != NONE }
    }

    private fun deadline(reader: SettingsReader, id: String, default: Long): Long =
        reader.duration(id, TIME_RANGE, default)

    private fun servers(reader: SettingsReader): List<BackendServer> {
        val checksGrants = reader.flag("checksGrants", true)
        return reader.texts("servers").mapIndexedNotNull { position, text ->
            val parts = text.trim().split(Regex("\\s+"))
            val address = parts.getOrNull(1)?.let(Address::parse)
            if (parts.size != SERVER_PARTS || address == null) {
                reader.addError("servers[$position]", "\"$text\"", SERVER_FORMAT)
                null
            } else {
                BackendServer(ServerName(parts[0]), address, FailureDomainName(parts[2]), checksGrants)
            }
        }
    }

    private const val DEFAULT_SHARDS = 64L
    private const val SERVER_PARTS = 3
}
