/*
 * Matches the head of a caller's HTTP request to a route, or rejects it with an error.
 */
package rhubarbspool.router

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import rhubarbspool.configuration.RunKind
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.routing.RouteMatch

/** Head of a request that was matched to a route; its body is still to be received. */
internal data class AcceptedHead(
    val match: RouteMatch,
    val headers: List<Header>,
    val caller: String,
    val attempt: Attempt,
    val deadlineAt: Long,
) {
    /** The complete request, with its [body]. */
    fun withBody(body: ByteArray) = IncomingRequest(match, headers, body, caller, attempt, deadlineAt)
}

/** Checks callers' requests and starts those that are accepted. */
internal class CallerAdmission(
    private val context: RouterContext,
    private val flow: RequestFlow,
    private val lag: LoopLag,
) {
    /** Whether the instance is stopping, so that connections are closed after their next response. */
    var isStopping: Boolean = false

    val metrics: RouterMetrics get() = context.metrics

    /** Checks the head of a request and matches it to a route; [peer] is the caller unless a header names one. */
    fun accept(request: HttpRequest, peer: String): Either<RequestError, AcceptedHead> =
        checkExpectation(request)
            .flatMap { checkLoad() }
            .flatMap { context.view.routes.match(request.method().name(), request.uri()) }
            .flatMap { checkLength(request, it) }
            .flatMap { checkRequestId(request, it) }
            .map { head(request, it, peer) }
            .mapLeft { if (request.headers()[REQUEST_ID] == null) it else it.forOnceOnly(isFirst(request)) }

    /** Starts a request that was received completely. */
    fun start(request: IncomingRequest, sink: AnswerSink): Cancellable = flow.start(request, sink)

    private fun checkExpectation(request: HttpRequest): Either<RequestError, Unit> {
        val expectation = request.headers()[HttpHeaderNames.EXPECT]
        val known = expectation == null || expectation.equals("100-continue", ignoreCase = true)
        return if (known) Unit.right() else RequestError(ErrorKind.EXPECTATION_FAILED).left()
    }

    private fun isFirst(request: HttpRequest) = request.headers()[ATTEMPT] == "1"

    private fun checkLoad(): Either<RequestError, Unit> {
        val overloaded = RequestError(ErrorKind.INSTANCE_OVERLOADED, retryAfterMilliseconds = RETRY_MILLISECONDS)
        return if (lag.isExcessive) overloaded.left() else Unit.right()
    }

    private fun checkLength(request: HttpRequest, match: RouteMatch): Either<RequestError, RouteMatch> {
        val tooLong = HttpUtil.getContentLength(request, 0L) > match.configuration.limits.requestBodyBytes
        return if (tooLong) RequestError(ErrorKind.BODY_TOO_LARGE).left() else match.right()
    }

    private fun checkRequestId(request: HttpRequest, match: RouteMatch): Either<RequestError, RouteMatch> {
        val id = request.headers()[REQUEST_ID].orEmpty()
        val usable = match.route.kind == RunKind.REPEATABLE || REQUEST_ID_FORMAT.matches(id)
        return if (usable) match.right() else RequestError(ErrorKind.REQUEST_ID_MISSING).left()
    }

    private fun head(request: HttpRequest, match: RouteMatch, peer: String): AcceptedHead {
        val requested = request.headers()[DEADLINE]?.toLongOrNull()?.coerceAtLeast(0)
        val allowed = minOf(requested ?: match.route.deadlineMilliseconds, match.route.deadlineMilliseconds)
        val forwardedHeaders = request.headers().filterNot { ServerHeaders.isHopByHop(it.key) }
        return AcceptedHead(
            match,
            forwardedHeaders.map { Header(it.key, it.value) },
            caller = request.headers()[CALLER] ?: peer,
            attempt = Attempt(request.headers()[REQUEST_ID], isFirst(request)),
            deadlineAt = ProcessClock.monotonic() + allowed,
        )
    }

    private companion object {
        const val REQUEST_ID = "idempotency-key"
        const val ATTEMPT = "rhubarbspool-attempt"
        const val RETRY_MILLISECONDS = 1_000L
        const val CALLER = "rhubarbspool-caller"
        const val DEADLINE = "rhubarbspool-deadline-milliseconds"
        val REQUEST_ID_FORMAT = Regex("[A-Za-z0-9._:-]{1,128}")
    }
}
