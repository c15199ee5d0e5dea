/*
 * Takes callers' requests from their route to an answer: one run for each request.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import rhubarbspool.dispatch.RetryAllowance
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.TrafficSplit
import java.util.Locale

/** What a run needs of the process. */
internal class FlowContext(
    val settings: EntrySettings,
    val names: HeaderNames,
    val state: EntryState,
    val loop: EventLoop,
    val hub: PeerHub,
    val links: ServerLinks,
    val metrics: EntryMetrics,
    val load: LoadCounter,
    val log: DecisionLog,
    val clock: () -> Long,
) {
    private val allowances = HashMap<ServiceName, RetryAllowance>()

    /** This instance's retries to [service]. */
    fun allowance(service: ServiceName): RetryAllowance =
        allowances.getOrPut(service) { RetryAllowance(settings.retryRatio, settings.retryWindowMilliseconds) }

    /** Retries in a window that this instance may send beyond its requests' share. */
    val slack: Double get() = settings.retrySlack.toDouble() / maxOf(1, state.members.size)
}

/** Handles callers' requests. */
internal class RequestFlow(private val context: FlowContext) : RequestHandler {
    private val split = TrafficSplit()
    private val waiting = LinkedHashSet<RequestRun>()

    /** Requests that have no answer yet. */
    var running: Int = 0
        private set

    override var isStopping: Boolean = false

    override val bodyLimit: Long get() = context.state.configuration?.bounds?.bodyBytes ?: DEFAULT_BODY_BYTES

    override fun handle(request: CallerRequest, turn: CallerTurn) {
        val state = context.state
        val id = request.headers.get(context.names.requestId)
        val host = request.headers.get("Host").orEmpty()
        val route = state.routes.find(host, request.target)
        when {
            state.configuration == null ->
                refuse(RequestError(ErrorKind.NO_CONFIGURATION, retryAfterMilliseconds = UNREADY_MILLISECONDS), turn)
            route == null -> refuse(RequestError(ErrorKind.UNKNOWN_ROUTE, "$host${request.target}"), turn)
            id.isNullOrEmpty() -> refuse(RequestError(ErrorKind.MALFORMED_REQUEST, "no request id"), turn)
            else -> {
                val service = split.next(route)?.let { state.configuration?.services?.get(it) }
                if (service == null) {
                    refuse(RequestError(ErrorKind.NO_OWNER, route.name, RETRY_MILLISECONDS), turn)
                } else {
                    context.allowance(service.name).requested()
                    running++
                    val run = RequestRun(context, id, request, route, service, turn) { ended ->
                        running--
                        waiting -= ended
                    }
                    if (service.sharded) waiting += run
                    run.start()
                }
            }
        }
    }

    /** Servers or owners of keys changed: what waits for an owner that has changed asks anew. */
    fun learned() = waiting.toList().forEach(RequestRun::ownersChanged)

    override fun refuse(error: RequestError, turn: CallerTurn) {
        context.log.request("-", "refused", "error" to error.kind, "detail" to error.detail, "version" to context.state.configuration?.version)
        context.metrics.refused(error.kind.name)
        turn.refuse(error)
    }

    private companion object {
        const val DEFAULT_BODY_BYTES = 1_048_576L

        /** A starting instance knows its configuration within about this time. */
        const val UNREADY_MILLISECONDS = 500L
        const val RETRY_MILLISECONDS = 500L
    }
}

/** Answers with [error]; nothing else has been written. */
internal fun CallerTurn.refuse(error: RequestError) {
    val headers = DefaultHttpHeaders()
    headers.set("Content-Type", "text/plain; charset=utf-8")
    val retryAfter = error.retryAfterMilliseconds
    if (error.kind.retryable && retryAfter != null) {
        headers.set("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter / MILLISECONDS_PER_SECOND))
    }
    answer(error.kind.status, headers, Unpooled.copiedBuffer(error.kind.summary + "\n", Charsets.UTF_8))
}

private const val MILLISECONDS_PER_SECOND = 1_000.0
