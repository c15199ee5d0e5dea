/*
 * The configuration of one service: its routes, its backend servers, and the limits that hold for them.
 * Immutable; a new version replaces the whole value.
 */
package rhubarbspool.configuration

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Whether a request may be run again. */
enum class RunKind(val label: String) {
    /** Running the request twice is harmless. */
    REPEATABLE("repeatable"),

    /** The request may run at most once. */
    ONCE("once"),
}

/**
 * Order in which waiting requests of a server are served.
 *
 * @property queuePenalty how many requests of the same caller and key a request of this class gives way to.
 */
enum class Priority(val label: String, val queuePenalty: Double) {
    HIGH("high", 0.0),
    NORMAL("normal", 0.0),
    LOW("low", LOW_QUEUE_PENALTY),
}

private const val LOW_QUEUE_PENALTY = 8.0

/**
 * A route of a service.
 *
 * @property path template with one `{key}` segment, such as `/boats/{key}`.
 * @property coalesce whether equal requests in flight share one call to the server; off where answers are personal.
 * @property deadlineMilliseconds how long a caller waits when it names no deadline of its own.
 */
data class Route(
    val name: String,
    val method: String,
    val path: String,
    val kind: RunKind = RunKind.REPEATABLE,
    val priority: Priority = Priority.NORMAL,
    val coalesce: Boolean = false,
    val deadlineMilliseconds: Long = Limits.DEFAULT_DEADLINE_MILLISECONDS,
)

/**
 * A backend server of a service.
 *
 * @property checksGrants whether the server refuses orders that carry no current grant.
 */
data class BackendServer(
    val name: ServerName,
    val address: Address,
    val domain: FailureDomainName,
    val checksGrants: Boolean = true,
)

/**
 * Limits that hold for each server of a service.
 *
 * @property slots requests that a warm server runs at once.
 * @property connections connections that a server takes.
 * @property maximumExecutionMilliseconds longest time that a server runs a request after it was sent.
 * @property requestBodyBytes largest request body.
 * @property coalescedAnswerBytes largest answer that is kept to be shared.
 * @property queueLength most requests that wait for one server.
 * @property silenceMilliseconds longest time without a byte before a connection is taken for silent.
 */
data class Limits(
    val slots: Int = DEFAULT_SLOTS,
    val connections: Int = DEFAULT_CONNECTIONS,
    val maximumExecutionMilliseconds: Long = DEFAULT_MAXIMUM_EXECUTION_MILLISECONDS,
    val requestBodyBytes: Long = DEFAULT_REQUEST_BODY_BYTES,
    val coalescedAnswerBytes: Long = DEFAULT_COALESCED_ANSWER_BYTES,
    val queueLength: Int = DEFAULT_QUEUE_LENGTH,
    val silenceMilliseconds: Long = DEFAULT_SILENCE_MILLISECONDS,
) {
    companion object {
        const val DEFAULT_SLOTS: Int = 2
        const val DEFAULT_CONNECTIONS: Int = 250
        const val DEFAULT_DEADLINE_MILLISECONDS: Long = 2_000
        const val DEFAULT_MAXIMUM_EXECUTION_MILLISECONDS: Long = 5_000
        const val DEFAULT_REQUEST_BODY_BYTES: Long = 65_536
        const val DEFAULT_COALESCED_ANSWER_BYTES: Long = 262_144
        const val DEFAULT_QUEUE_LENGTH: Int = 512
        const val DEFAULT_SILENCE_MILLISECONDS: Long = 2_000
    }
}

/**
 * What a server that was just started can carry.
 *
 * @property slots requests that a cold server runs at once.
 * @property completions answers in time after which the server is given one more slot.
 */
data class ColdStart(val slots: Int = 1, val completions: Int = DEFAULT_COMPLETIONS) {
    companion object {
        const val DEFAULT_COMPLETIONS: Int = 20
    }
}

/**
 * The configuration of one service.
 *
 * @property shards ranges that hashed keys are divided into.
 * @property moveAfterMilliseconds time after which the keys of a failure domain that is cut off move to servers
 *   of other domains, and after which the cut domain itself stops serving them; null to keep them where they are.
 * @property repeatWindowMilliseconds how long a once-only request is recognised when its caller sends it again.
 */
data class ServiceConfiguration(
    val service: ServiceName,
    val shards: Int,
    val routes: List<Route>,
    val servers: List<BackendServer>,
    val moveAfterMilliseconds: Long? = null,
    val repeatWindowMilliseconds: Long = DEFAULT_REPEAT_WINDOW_MILLISECONDS,
    val limits: Limits = Limits(),
    val coldStart: ColdStart = ColdStart(),
) {
    private val serversByName = servers.associateBy { it.name }

    /** The server called [name]; null when the configuration has none. */
    fun server(name: ServerName): BackendServer? = serversByName[name]

    companion object {
        const val DEFAULT_REPEAT_WINDOW_MILLISECONDS: Long = 600_000
    }
}
