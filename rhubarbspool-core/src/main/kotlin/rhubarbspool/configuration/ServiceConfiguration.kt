/*
 * The configuration of one service: its routes, its backend servers, and their limits. Immutable; a new version
 * replaces the whole value.
 */
package rhubarbspool.configuration

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Whether a request may be run more than once. */
enum class RunKind(val label: String) {
    /** Running the request twice is harmless. */
    REPEATABLE("repeatable"),

    /** The request may run at most once. */
    ONCE("once"),
}

/**
 * Priority of a request in the queue of a server.
 *
 * @property queuePenalty by how many requests of the same caller and key a request of this priority is set back.
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
 * @property coalesce whether equal requests in flight share one call to the server; off for responses that depend on
 *   the caller.
 * @property deadlineMilliseconds deadline of requests whose caller sets none.
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
 * @property checksGrants whether the server rejects orders that carry no current grant.
 */
data class BackendServer(
    val name: ServerName,
    val address: Address,
    val domain: FailureDomainName,
    val checksGrants: Boolean = true,
)

/**
 * Limits of each server of a service.
 *
 * @property slots maximum number of requests that a warm server runs at once.
 * @property connections maximum number of connections to a server.
 * @property maximumExecutionMilliseconds maximum time for which a server runs a request after it was sent.
 * @property requestBodyBytes maximum size of a request body.
 * @property coalescedAnswerBytes maximum size of a response that is buffered to be shared.
 * @property queueLength maximum number of requests that wait for one server.
 * @property silenceMilliseconds maximum time without a byte before a connection counts as silent.
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
 * Load limit of a server after its start (slow start).
 *
 * @property slots maximum number of requests that a cold server runs at once.
 * @property completions number of timely responses after which the server gets one more slot.
 */
data class ColdStart(val slots: Int = 1, val completions: Int = DEFAULT_COMPLETIONS) {
    companion object {
        const val DEFAULT_COMPLETIONS: Int = 20
    }
}

/**
 * The configuration of one service.
 *
 * @property shards number of ranges into which hashed keys are divided.
 * @property moveAfterMilliseconds time after which the keys of a failure domain that is cut off move to servers of
 *   other domains, and by which the domain itself stops serving them; null to keep them in their domain.
 * @property repeatWindowMilliseconds time for which a repeated once-only request is recognised.
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

    /** Returns the server [name], or null when the configuration has no such server. */
    fun server(name: ServerName): BackendServer? = serversByName[name]

    companion object {
        const val DEFAULT_REPEAT_WINDOW_MILLISECONDS: Long = 600_000
    }
}
