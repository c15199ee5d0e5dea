/*
 * Routes callers' requests and starts their runs; rejects requests that can't be routed.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import rhubarbspool.dispatch.PlannedStop
import rhubarbspool.dispatch.RetryAllowance
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficSplit
import java.util.Locale
import java.util.concurrent.Future

/** Dependencies and shared state of request handling. */
internal class RequestContext(
    val process: ProcessContext,
    val names: HeaderNames,
    val hub: PeerHub,
    val connections: ServerConnections,
    val load: LoadCounter,
) {
    private val retryAllowances = HashMap<ServiceName, RetryAllowance>()

    /** Limits that servers have named. */
    val limits = ServerLimits(process.state.directory, process.log)

    /** What servers say of themselves. */
    val notices = ServerNotices(process, names, hub)

    /** Headers of servers' responses that are not interpreted. */
    val unknownHeaders = UnknownHeaders(names, process.log)

    /** Retry budget of this instance for [service]. */
    fun retryAllowance(service: ServiceName): RetryAllowance = retryAllowances.getOrPut(service) {
        RetryAllowance(process.settings.retryRatio, process.settings.retryWindowMilliseconds)
    }

    /** Schedules [action] on the event loop after [milliseconds]. */
    fun schedule(milliseconds: Long, action: () -> Unit): Future<*> =
        process.tasks.schedule("request", milliseconds, action)

    /** This instance's share of the retries that may be sent in a window beyond the budget's ratio to the requests. */
    val retrySlack: Double
        get() = process.settings.retrySlack.toDouble() / maxOf(1, process.state.shared.members.size)
}

/**
 * Routes callers' requests and tracks those in flight. While [isConfigurationBehind], an unknown route may be a new
 * one.
 */
internal class RequestFlow(
    private val context: RequestContext,
    private val isConfigurationBehind: () -> Boolean,
) : RequestHandler {
    private val split = TrafficSplit()
    private val runs = LinkedHashSet<RequestRun>()
    private var plannedStop: PlannedStop? = null
    private var isEnded = false

    /** Requests without a response. */
    val inFlight: Int get() = runs.size

    override val isStopping: Boolean get() = plannedStop != null

    override val bodyMemory = BodyMemory()

    override val bodyLimit: Long
        get() = context.process.state.configuration?.bounds?.bodyBytes ?: DEFAULT_BODY_BYTES

    override fun arrivalLimit(headers: HttpHeaders, minimum: Long): Long =
        maxOf(minimum, RequestState.requestedTimeout(headers, context.names) ?: 0)

    /** Begins [stop]: requests end before the process does. */
    fun beginStop(stop: PlannedStop) {
        plannedStop = stop
        runs.toList().forEach { it.state.deadline.limit(stop.lastDeadlineAt) }
    }

    /** Ends the flow if no request is in flight, so that none is taken on after that; returns whether it has ended. */
    fun endIfIdle(): Boolean {
        isEnded = isEnded || runs.isEmpty()
        return isEnded
    }

    override fun handle(request: CallerRequest, turn: CallerTurn) {
        val host = request.headers.get("Host").orEmpty()
        val id = request.headers.get(context.names.requestId).orEmpty()
        val route = context.process.state.routes.find(host, request.target)
        when {
            context.process.state.configuration == null || (route == null && isConfigurationBehind()) ->
                reject(RequestError(ErrorKind.NO_CONFIGURATION, retryAfterMilliseconds = STARTUP_MILLISECONDS), turn)
            route == null -> reject(RequestError(ErrorKind.UNKNOWN_ROUTE, "$host${request.target}"), turn)
            id.isEmpty() -> reject(RequestError(ErrorKind.MALFORMED_REQUEST, "no request id"), turn)
            else -> return startRun(id, request, route, turn)
        }
        bodyMemory.release(request.body.size)
    }

    override fun reject(error: RequestError, turn: CallerTurn) {
        val version = context.process.state.configuration?.version
        val fields = listOf("error" to error.kind, "detail" to error.detail, "version" to version)
        context.process.log.request("-", "refused", fields)
        context.process.metrics.recordRefusal(error.kind.name)
        turn.sendError(error)
    }

    /**
     * Servers or key owners changed: requests that wait for a former owner, or for a new one, ask the current owner.
     */
    fun onServersChanged() = runs.filter { it.state.service.sharded }.forEach(RequestRun::onOwnersChanged)

    private fun startRun(id: String, request: CallerRequest, route: TrafficRoute, turn: CallerTurn) {
        val service = split.next(route)?.let { context.process.state.configuration?.services?.get(it) }
        if (service == null) {
            bodyMemory.release(request.body.size)
            return reject(RequestError(ErrorKind.NO_OWNER, route.name, STARTUP_MILLISECONDS), turn)
        }
        val state = RequestState(context, id, request, route, service, turn.executions)
        if (!isAdmitted(state)) {
            bodyMemory.release(request.body.size)
            return reject(RequestError(ErrorKind.STOPPING, id, retryAfterMilliseconds = 0), turn)
        }
        context.retryAllowance(service.name).recordRequest()
        var run: RequestRun? = null
        val end = RequestEnd(context, state, turn) {
            bodyMemory.release(request.body.size)
            run?.let { runs -= it }
        }
        run = RequestRun(context, state, end)
        runs += run
        run.start(turn)
    }

    /** Whether the request of [state] is run; in a planned stop, its deadline is limited to the end of that. */
    private fun isAdmitted(state: RequestState): Boolean {
        val stop = plannedStop ?: return true
        val admitted = !isEnded && stop.admits(state.deadlineAt, context.process.clock())
        if (admitted) state.deadline.limit(stop.lastDeadlineAt)
        return admitted
    }

    private companion object {
        const val DEFAULT_BODY_BYTES = 1_048_576L

        /** A starting instance knows its configuration within about this time. */
        const val STARTUP_MILLISECONDS = 500L
    }
}

/** Sends an error response for [error], which must be true; nothing may have been written before. */
internal fun CallerTurn.sendError(error: RequestError) {
    val headers = DefaultHttpHeaders()
    headers.set("Content-Type", "text/plain; charset=utf-8")
    val retryAfter = error.retryAfterMilliseconds
    val mayRetry = error.kind.retryable && error.kind.outcome != Outcome.UNKNOWN
    if (mayRetry && retryAfter != null) {
        headers.set("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter / MILLISECONDS_PER_SECOND))
    }
    send(executions.finalStatus(error), headers, Unpooled.copiedBuffer(error.kind.summary + "\n", Charsets.UTF_8))
}

private const val MILLISECONDS_PER_SECOND = 1_000.0
