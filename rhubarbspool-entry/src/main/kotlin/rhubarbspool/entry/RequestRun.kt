/*
 * Runs one caller's request: obtains a permit, sends the request, and relays the response, retries or fails. In every
 * case the caller gets one response, and each permit is returned once.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.AttemptPolicy
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.dispatch.NextStep
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName
import java.util.concurrent.Future

/** Runs the request of [state]; [end] sends its response. */
internal class RequestRun(
    private val context: RequestContext,
    val state: RequestState,
    private val end: RequestEnd,
) : CallListener, SearchListener {
    private val search = PoolSearch(context, state, this)
    private var call: ServerCall? = null
    private var retryTimer: Future<*>? = null

    /** Starts the request; the response is written to [turn]. */
    fun start(turn: CallerTurn) {
        turn.onCallerGone = ::callerGone
        turn.onWritable = { call?.exchange?.isReading = true }
        state.deadline.start(::onDeadline)
        if (state.service.sharded && state.key == null) {
            end.fail(RequestError(ErrorKind.KEY_MISSING, state.route.name))
        } else {
            state.key?.takeIf { state.service.sharded }?.let { context.load.recordRequest(state.service, it) }
            // A caller sends requests behind a response that closes the connection again, so a booking waits for that.
            if (state.repeatable) search.start() else turn.onCurrent = { if (!end.isCompleted) search.start() }
        }
    }

    /**
     * Key owners may have changed: a request that waits for a former owner, or for a new one, asks the current owner.
     */
    fun onOwnersChanged() {
        val owner = state.owner(context.process.clock())
        val askedOwner = search.askedOwner ?: return
        val hasMoved = owner != null && (owner.server != askedOwner.server || owner.bornWall != askedOwner.bornWall)
        if (end.isCompleted || call != null || !hasMoved) return
        retryTimer?.cancel(false)
        search.withdraw()
        search.start()
    }

    override fun onPermit(ask: PendingSlotRequest, server: ServerName) {
        val now = context.process.clock()
        val directory = context.process.state.directory
        val entry = directory[server]
            ?.takeIf { directory.mayStillServe(server, now) && !context.notices.isPaused(it, now) }
        val remaining = state.deadlineAt - now
        if (entry == null || remaining < MINIMUM_REMAINING_MILLISECONDS) {
            search.withdraw()
            state.refusals++
            state.triedServers += server
            onCallFailed(CallOutcome.CANCELLED)
        } else {
            // A call may fail as it starts, and another one may have begun when that returns.
            val started = ServerCall(context, state, Permit(context, ask), entry, end, this)
            call = started
            started.start()
        }
    }

    override fun onRefused(error: RequestError) = end.fail(error)

    override fun onCallFailed(outcome: CallOutcome) {
        call = null
        if (end.isCompleted) return
        val now = context.process.clock()
        when (val next = AttemptPolicy.nextStep(outcome, state.attemptState(now)) { state.tryAcquireRetry(now) }) {
            is NextStep.Retry -> retry(outcome, next.delayMilliseconds)
            is NextStep.Fail -> end.fail(RequestError(next.error, "$outcome", search.retryAfter))
            NextStep.RelayAnswer -> error("a response is relayed where it arrives")
        }
    }

    override fun tryRetryAfterFault(): Boolean {
        call = null
        val now = context.process.clock()
        val next = AttemptPolicy.nextStep(CallOutcome.FAULTY, state.attemptState(now)) { state.tryAcquireRetry(now) }
        val retried = !end.isCompleted && next is NextStep.Retry
        if (retried) retry(CallOutcome.FAULTY, 0)
        return retried
    }

    /** A streamed response is relayed until its caller's own deadline and then aborted, so that an endless one ends. */
    override fun onStreamStarted() {
        state.deadline.extend(state.streamDeadlineAt + ANSWER_GRACE_MILLISECONDS) { call?.onDeadline() }
    }

    private fun retry(cause: CallOutcome, delay: Long) {
        val remaining = state.deadlineAt - context.process.clock()
        context.process.log.request(
            state.id,
            "retry",
            listOf(
                "after" to cause,
                "runs" to state.executions.possibleRuns,
                "refusals" to state.refusals,
                "remaining" to remaining,
            ),
        )
        if (delay > 0) retryTimer = context.schedule(delay) { if (!end.isCompleted) search.start() } else search.start()
    }

    private fun onDeadline() {
        val current = call
        if (current == null) {
            search.withdraw()
            end.fail(RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "waited", search.retryAfter))
        } else {
            state.deadline.extend(context.process.clock() + ANSWER_GRACE_MILLISECONDS, current::onDeadline)
        }
    }

    /** A once-only request in flight continues until its deadline, so that it is not interrupted halfway. */
    private fun callerGone() {
        val current = call
        retryTimer?.cancel(false)
        if (current == null || state.repeatable) state.deadline.cancel()
        if (current == null) search.withdraw() else if (state.repeatable) current.cancel(CallOutcome.CANCELLED)
        end.onCallerGone(if (current == null) "waiting" else "running")
        if (!state.repeatable) current?.exchange?.isReading = true
    }

    private companion object {
        /** A request with less time left is not sent. */
        const val MINIMUM_REMAINING_MILLISECONDS = 25L

        /** Time in which a response that the server sends at the deadline still arrives. */
        const val ANSWER_GRACE_MILLISECONDS = 120L
    }
}
