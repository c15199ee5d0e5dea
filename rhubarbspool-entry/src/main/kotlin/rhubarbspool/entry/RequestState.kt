/*
 * A caller's request with its route and time limits, and the record of its attempts.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpHeaders
import rhubarbspool.dispatch.Attempt
import rhubarbspool.dispatch.AttemptState
import rhubarbspool.dispatch.ExecutionRecord
import rhubarbspool.errors.PromiseStatuses
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficService

/**
 * The request [callerRequest] with [id] on [route] to [service]; [executions] says whether it has run. Times are
 * monotonic milliseconds.
 */
internal class RequestState(
    private val context: RequestContext,
    val id: String,
    val callerRequest: CallerRequest,
    val route: TrafficRoute,
    val service: TrafficService,
    val executions: ExecutionRecord,
) {
    /** Whether the request may run more than once. */
    val repeatable: Boolean = route.kind.repeatable

    /** Time by which a response is on target for the route. */
    val dueAt: Long = callerRequest.arrivedAt + route.targetMilliseconds

    private val requestedTimeout = requestedTimeout(callerRequest.headers, context.names)

    /** Time at which a request without a response fails. */
    val deadline = RequestDeadline(
        context,
        callerRequest.arrivedAt + minOf(route.timeoutMilliseconds, requestedTimeout ?: Long.MAX_VALUE),
    )

    /** The time of [deadline]. */
    val deadlineAt: Long get() = deadline.at

    /** Time until which the caller waits for the rest of a streamed response. */
    val streamDeadlineAt: Long = requestedTimeout?.let { callerRequest.arrivedAt + it } ?: deadline.at

    /** The shard key, if the request has a valid one. */
    val key: Int? = callerRequest.headers.get(context.names.key)?.toIntOrNull()
        ?.takeIf { it in 0 until OwnershipDocument.KEYS }

    /** Servers that the request was sent to, or could not be sent to. */
    val triedServers = LinkedHashSet<ServerName>()

    /** Times that the request was refused without being run, or could not be sent. */
    var refusals = 0

    /** The input of the decision about another attempt at [now]. */
    fun attemptState(now: Long) = AttemptState(
        repeatable,
        executions.possibleRuns,
        refusals,
        route.maximumAttempts,
        deadlineAt - now,
        service.sharded,
    )

    /** Whether the response of [server] with [head] proves that [attempt] was not executed. */
    fun resolve(attempt: Attempt, head: ServerHead, server: ServerName): Boolean {
        val response = head.attemptResponse(id, context.names)
        val isRefused = executions.resolve(attempt, response)
        if (!isRefused && (response.statesNotExecuted || response.status in PromiseStatuses)) {
            val fields = listOf(
                "server" to server,
                "status" to response.status,
                "statesNotExecuted" to response.statesNotExecuted,
                "namesRequest" to response.namesRequest,
                "attempts" to executions.attemptCount,
            )
            context.process.log.request(id, "refusal.unproven", fields)
        }
        return isRefused
    }

    /** Takes a retry from this instance's share of the retry budget at [now]; returns whether one was left. */
    fun tryAcquireRetry(now: Long): Boolean = context.retryAllowance(service.name).tryAcquire(context.retrySlack, now)

    /**
     * The owner of the key at [now]; null if its incarnation has ended, it may no longer serve, or nobody owns the key.
     */
    fun owner(now: Long): BackendEntry? {
        val directory = context.process.state.directory
        val document = context.process.state.shared.ownership[service.name]?.document
        val owner = key?.let { document?.owner(document.rangeOf(it)) }
        val entry = owner?.let { directory[it.server] }?.takeIf { it.bornWall == owner.bornWall }
        return entry?.takeIf { directory.mayStillServe(it.server, now) }
    }

    companion object {
        /** A day; longer timeouts requested by callers are limited to it. */
        private const val MAXIMUM_TIMEOUT_MILLISECONDS = 86_400_000L

        /** The timeout in milliseconds that the caller requests in [headers], if any. */
        fun requestedTimeout(headers: HttpHeaders, names: HeaderNames): Long? =
            headers.get(names.timeout)?.toLongOrNull()?.coerceIn(0, MAXIMUM_TIMEOUT_MILLISECONDS)
    }
}
