/*
 * Takes callers' requests from their route to a run, and answers those that can't have one.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import rhubarbspool.dispatch.RetryAllowance
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficSplit
import java.util.Locale
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** What requests need of the process. */
internal class FlowContext(
    val process: ProcessContext,
    val names: HeaderNames,
    val hub: PeerHub,
    val links: ServerLinks,
    val load: LoadCounter,
) {
    private val allowances = HashMap<ServiceName, RetryAllowance>()

    /** This instance's retries to [service]. */
    fun allowance(service: ServiceName): RetryAllowance = allowances.getOrPut(service) {
        RetryAllowance(process.settings.retryRatio, process.settings.retryWindowMilliseconds)
    }

    /** Does [action] after [milliseconds]. */
    fun after(milliseconds: Long, action: () -> Unit): Future<*> =
        process.loop.schedule(action, maxOf(0, milliseconds), TimeUnit.MILLISECONDS)

    /** Retries in a window that this instance may send beyond its requests' share. */
    val slack: Double
        get() = process.settings.retrySlack.toDouble() / maxOf(1, process.state.shared.members.size)
}

/** Handles callers' requests. */
internal class RequestFlow(private val flow: FlowContext) : RequestHandler {
    private val split = TrafficSplit()
    private val waiting = LinkedHashSet<RequestRun>()

    /** Requests that have no answer yet. */
    var running: Int = 0
        private set

    override var isStopping: Boolean = false

    override val bodyLimit: Long
        get() = flow.process.state.configuration?.bounds?.bodyBytes ?: DEFAULT_BODY_BYTES

    override fun handle(request: CallerRequest, turn: CallerTurn) {
        val host = request.headers.get("Host").orEmpty()
        val id = request.headers.get(flow.names.requestId).orEmpty()
        val route = flow.process.state.routes.find(host, request.target)
        when {
            flow.process.state.configuration == null ->
                refuse(RequestError(ErrorKind.NO_CONFIGURATION, retryAfterMilliseconds = UNREADY_MILLISECONDS), turn)
            route == null -> refuse(RequestError(ErrorKind.UNKNOWN_ROUTE, "$host${request.target}"), turn)
            id.isEmpty() -> refuse(RequestError(ErrorKind.MALFORMED_REQUEST, "no request id"), turn)
            else -> run(id, request, route, turn)
        }
    }

    override fun refuse(error: RequestError, turn: CallerTurn) {
        val version = flow.process.state.configuration?.version
        val facts = listOf("error" to error.kind, "detail" to error.detail, "version" to version)
        flow.process.log.request("-", "refused", facts)
        flow.process.metrics.recordRefusal(error.kind.name)
        turn.refuse(error)
    }

    /** Servers or owners of keys changed: what waits for an owner that has changed asks anew. */
    fun learned() = waiting.toList().forEach(RequestRun::ownersChanged)

    private fun run(id: String, request: CallerRequest, route: TrafficRoute, turn: CallerTurn) {
        val service = split.next(route)?.let { flow.process.state.configuration?.services?.get(it) }
        if (service == null) return refuse(RequestError(ErrorKind.NO_OWNER, route.name, UNREADY_MILLISECONDS), turn)
        flow.allowance(service.name).recordRequest()
        running++
        val facts = RequestFacts(flow, id, request, route, service)
        var run: RequestRun? = null
        val end = RequestEnd(flow, facts, turn) {
            running--
            run?.let { waiting -= it }
        }
        run = RequestRun(flow, facts, end)
        if (service.sharded) waiting += run
        run.start(turn)
    }

    private companion object {
        const val DEFAULT_BODY_BYTES = 1_048_576L

        /** A starting instance knows its configuration within about this time. */
        const val UNREADY_MILLISECONDS = 500L
    }
}

/** Answers with [error]; nothing else has been written. */
internal fun CallerTurn.refuse(error: RequestError) {
    val headers = DefaultHttpHeaders()
    headers.set("Content-Type", "text/plain; charset=utf-8")
    val retryAfter = error.retryAfterMilliseconds
    val mayComeBack = error.kind.retryable && error.kind.outcome != Outcome.UNKNOWN
    if (mayComeBack && retryAfter != null) {
        headers.set("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter / MILLISECONDS_PER_SECOND))
    }
    answer(error.kind.status, headers, Unpooled.copiedBuffer(error.kind.summary + "\n", Charsets.UTF_8))
}

private const val MILLISECONDS_PER_SECOND = 1_000.0
