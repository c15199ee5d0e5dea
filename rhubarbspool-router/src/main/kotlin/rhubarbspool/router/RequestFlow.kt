/*
 * Routes a request from the router that the caller reached to the gate of the key's server. While a gate moves, the
 * request is retried at the gate's next holder. A retry is safe because the earlier attempt certainly did not run, or
 * because the gate's records detect the duplicate.
 */
package rhubarbspool.router

import rhubarbspool.configuration.RunKind
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.FailureDomainName
import rhubarbspool.routing.DomainReachability
import rhubarbspool.routing.KeyLocation
import rhubarbspool.routing.KeyLocator

/** Sends requests to their gates, here or through the router of another instance. */
internal class RequestFlow(
    private val context: RouterContext,
    private val gates: GateTable,
    private val forwards: ForwardClient,
) {
    private val reachability = DomainReachability()
    private val retries = RetryQueue(context.loop)

    /** Starts [request]; exactly one answer goes to [sink]. */
    fun start(request: IncomingRequest, sink: AnswerSink): Cancellable = Attempts(request, sink).also { it.tryNext() }

    /** Retries waiting requests: rows or the set of gates held here changed. */
    fun onRoutingChanged() = retries.retryAll()

    private inner class Attempts(private val request: IncomingRequest, private val sink: AnswerSink) : Cancellable {
        private val retryUntil = ProcessClock.monotonic() + RETRY_PERIOD_MILLISECONDS
        private var current: Cancellable? = null
        private var cancelled = false
        private var mayHaveRun = false
        private var attemptCount = 0
        private var domain: FailureDomainName? = null

        override fun cancel() {
            cancelled = true
            current?.cancel()
        }

        fun tryNext() {
            if (cancelled) return
            val rows = context.view.rows
            val location = KeyLocator.locate(rows, request.configuration, request.key)
            val router = location?.router
            domain = location?.holder?.let { rows.members[it]?.member?.domain }
            val attempt = AttemptSink(this, sink)
            when {
                location == null || router == null ->
                    onRefused(RequestError(ErrorKind.NO_OWNER, retryAfterMilliseconds = RETRY_MILLISECONDS))
                location.holder == context.instance -> current = submit(location, attempt)
                else -> {
                    context.metrics.recordForward()
                    current = forwards.send(request, location, router, attempt) { onReachability(location, it) }
                }
            }
        }

        fun onRefused(error: RequestError) {
            val now = ProcessClock.monotonic()
            if (error.kind == ErrorKind.GATE_LOST) mayHaveRun = true
            val cutOff = domain?.let { reachability.isCutOff(it, now) } ?: false
            val domainUnreachable = cutOff && error.kind in UNREACHABLE
            val noTimeLeft = now >= minOf(retryUntil, request.deadlineAt - RETRY_DELAY_MILLISECONDS)
            if (!mayRetry(error) || domainUnreachable || noTimeLeft) return finish(error)
            retries.schedule(attemptCount++, ::tryNext)
        }

        /** The gate's records detect a repeated once-only request, so it may be retried as well. */
        private fun mayRetry(error: RequestError): Boolean =
            error.kind in RETRYABLE || (error.kind == ErrorKind.GATE_LOST && isSafeToRepeat())

        private fun isSafeToRepeat(): Boolean = request.route.kind == RunKind.REPEATABLE || request.requestId != null

        private fun finish(error: RequestError) {
            val unclear = mayHaveRun && error.kind.outcome == Outcome.NOT_RUN
            val final = if (unclear) error.copy(kind = ErrorKind.GATE_LOST) else error
            val once = request.route.kind == RunKind.ONCE
            sink.refuse(if (once) final.forOnceOnly(request.attempt.isFirst) else final)
        }

        private fun submit(location: KeyLocation, attempt: AnswerSink): Cancellable? {
            val host = gates[location.server]
            if (host == null) {
                attempt.refuse(
                    RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = RETRY_MILLISECONDS)
                )
            }
            return host?.submit(request, attempt)
        }

        private fun onReachability(location: KeyLocation, reachable: Boolean) {
            val holder = location.holder ?: return
            val holderDomain = context.view.rows.members[holder]?.member?.domain ?: return
            if (reachable) {
                reachability.recordSuccess(holderDomain)
            } else {
                reachability.recordFailure(holderDomain, holder, ProcessClock.monotonic())
            }
        }
    }

    /** Relays an answer, and intercepts refusals that a retry may resolve. */
    private class AttemptSink(private val attempts: Attempts, private val sink: AnswerSink) : AnswerSink by sink {
        override fun refuse(error: RequestError) = attempts.onRefused(error)
    }

    private companion object {
        const val RETRY_PERIOD_MILLISECONDS = 1_500L
        const val RETRY_DELAY_MILLISECONDS = 25L
        const val RETRY_MILLISECONDS = 1_000L
        val RETRYABLE = setOf(ErrorKind.GATE_MOVED, ErrorKind.NO_OWNER, ErrorKind.GATE_UNREACHABLE)
        val UNREACHABLE = setOf(ErrorKind.GATE_UNREACHABLE, ErrorKind.GATE_LOST)
    }
}
