/*
 * The way of one request from the router that the caller reached to the gate of the key's server. While a gate
 * moves, the request is tried again where the gate is next; every such try was certainly not run, or is told
 * apart by the gate's records.
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

/** Finds the gate of a request and brings the request there. */
internal class RequestFlow(
    private val context: RouterContext,
    private val gates: GateTable,
    private val forwards: ForwardClient,
) {
    private val reachability = DomainReachability()
    private val waits = RetryWaits(context.loop)

    /** Starts [request]; exactly one answer goes to [sink]. */
    fun start(request: IncomingRequest, sink: AnswerSink): Ticket = Attempts(request, sink).also { it.next() }

    /** The router learned something new: what waits for it is tried again. */
    fun learned() = waits.wake()

    private inner class Attempts(private val request: IncomingRequest, private val sink: AnswerSink) : Ticket {
        private val patienceUntil = ProcessClock.monotonic() + PATIENCE_MILLISECONDS
        private var current: Ticket? = null
        private var cancelled = false
        private var maybeRun = false
        private var tries = 0
        private var domain: FailureDomainName? = null

        override fun cancel() {
            cancelled = true
            current?.cancel()
        }

        fun next() {
            if (cancelled) return
            val rows = context.view.rows
            val location = KeyLocator.locate(rows, request.configuration, request.key)
            val router = location?.router
            domain = location?.holder?.let { rows.members[it]?.member?.domain }
            val attempt = AttemptSink(this, sink)
            when {
                location == null || router == null ->
                    refused(RequestError(ErrorKind.NO_OWNER, retryAfterMilliseconds = RETRY_MILLISECONDS))
                location.holder == context.instance -> current = submit(location, attempt)
                else -> {
                    context.metrics.forwarded()
                    current = forwards.send(request, location, router, attempt) { reached(location, it) }
                }
            }
        }

        fun refused(error: RequestError) {
            val now = ProcessClock.monotonic()
            if (error.kind == ErrorKind.GATE_LOST) maybeRun = true
            val cutOff = domain?.let { reachability.isCutOff(it, now) } ?: false
            val hopeless = cutOff && error.kind in UNREACHABLE
            val late = now >= minOf(patienceUntil, request.deadlineAt - RETRY_DELAY_MILLISECONDS)
            if (!mayTryAgain(error) || hopeless || late) return finish(error)
            waits.add(tries++, ::next)
        }

        /** A repeat of a once-only request meets the records of the gate, so it is safe as well. */
        private fun mayTryAgain(error: RequestError): Boolean =
            error.kind in ELSEWHERE || (error.kind == ErrorKind.GATE_LOST && isSafeToRepeat())

        private fun isSafeToRepeat(): Boolean = request.route.kind == RunKind.REPEATABLE || request.requestId != null

        private fun finish(error: RequestError) {
            val unclear = maybeRun && error.kind.outcome == Outcome.NOT_RUN
            val final = if (unclear) error.copy(kind = ErrorKind.GATE_LOST) else error
            val once = request.route.kind == RunKind.ONCE
            sink.refuse(if (once) final.forOnceOnly(request.attempt.isFirst) else final)
        }

        private fun submit(location: KeyLocation, attempt: AnswerSink): Ticket? {
            val host = gates[location.server]
            if (host == null) {
                attempt.refuse(
                    RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = RETRY_MILLISECONDS)
                )
            }
            return host?.submit(request, attempt)
        }

        private fun reached(location: KeyLocation, reachable: Boolean) {
            val holder = location.holder ?: return
            val holderDomain = context.view.rows.members[holder]?.member?.domain ?: return
            if (reachable) {
                reachability.recordSuccess(holderDomain)
            } else {
                reachability.recordFailure(holderDomain, holder, ProcessClock.monotonic())
            }
        }
    }

    /** Passes an answer on and keeps refusals that another try may mend. */
    private class AttemptSink(private val attempts: Attempts, private val sink: AnswerSink) : AnswerSink by sink {
        override fun refuse(error: RequestError) = attempts.refused(error)
    }

    private companion object {
        const val PATIENCE_MILLISECONDS = 1_500L
        const val RETRY_DELAY_MILLISECONDS = 25L
        const val RETRY_MILLISECONDS = 1_000L
        val ELSEWHERE = setOf(ErrorKind.GATE_MOVED, ErrorKind.NO_OWNER, ErrorKind.GATE_UNREACHABLE)
        val UNREACHABLE = setOf(ErrorKind.GATE_UNREACHABLE, ErrorKind.GATE_LOST)
    }
}
