/*
 * One caller's request on its way: gets a slot, is sent, and its answer is passed on, or it is tried again or given
 * up. Whatever happens, the caller gets one answer, and each permit is given back once.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.AttemptPolicy
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.dispatch.NextStep
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName
import java.util.concurrent.Future

/** The run of the request of [state], which [end] answers. */
internal class RequestRun(
    private val context: RequestContext,
    private val state: RequestState,
    private val end: RequestEnd,
) : CallListener, SearchListener {
    private val search = PoolSearch(context, state, this)
    private var call: ServerCall? = null
    private var deadlineTimer: Future<*>? = null
    private var retryTimer: Future<*>? = null

    /** Begins; the answer goes to [turn]. */
    fun start(turn: CallerTurn) {
        turn.onCallerGone = ::callerGone
        turn.onWritable = { call?.exchange?.isReading = true }
        deadlineTimer = context.schedule(state.deadlineAt - context.process.clock(), ::onDeadline)
        if (state.service.sharded && state.key == null) {
            end.fail(RequestError(ErrorKind.KEY_MISSING, state.route.name))
        } else {
            state.range()?.let { context.load.requested(state.service, it) }
            search.start()
        }
    }

    /** Owners may have changed: a request that waits for a former owner, or for a new one, asks anew. */
    fun onOwnersChanged() {
        val owner = state.owner(context.process.clock())
        val askedOwner = search.askedOwner
        val hasMoved = owner != null && (owner.server != askedOwner?.server || owner.bornWall != askedOwner.bornWall)
        if (end.isCompleted || call != null || !hasMoved) return
        retryTimer?.cancel(false)
        search.withdraw()
        search.start()
    }

    override fun onPermit(ask: OpenAsk, server: ServerName) {
        val now = context.process.clock()
        val directory = context.process.state.directory
        val entry = directory[server]?.takeIf { directory.mayStillServe(server, now) }
        val remaining = state.deadlineAt - now
        if (entry == null || remaining < MINIMUM_REMAINING_MILLISECONDS) {
            search.withdraw()
            state.refusals++
            state.triedServers += server
            onCallFailed(CallOutcome.CANCELLED)
        } else {
            call = ServerCall(context, state, Permit(context, ask), entry, end, this).also { it.start() }
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
            NextStep.RelayAnswer -> error("an answer is passed on where it arrives")
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

    /** An answer that has begun is passed on while its caller waits; one without end is cut off then. */
    override fun onStreamStarted() {
        deadlineTimer?.cancel(false)
        val remaining = state.streamDeadlineAt - context.process.clock()
        deadlineTimer = context.schedule(remaining + ANSWER_GRACE_MILLISECONDS) { call?.onDeadline() }
    }

    private fun retry(cause: CallOutcome, delay: Long) {
        val remaining = state.deadlineAt - context.process.clock()
        context.process.log.request(
            state.id,
            "retry",
            listOf("after" to cause, "runs" to state.runs, "refusals" to state.refusals, "remaining" to remaining),
        )
        if (delay > 0) retryTimer = context.schedule(delay) { if (!end.isCompleted) search.start() } else search.start()
    }

    private fun onDeadline() {
        val current = call
        if (current == null) {
            search.withdraw()
            end.fail(RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "waited", search.retryAfter))
        } else {
            deadlineTimer = context.schedule(ANSWER_GRACE_MILLISECONDS, current::onDeadline)
        }
    }

    /** A request that can't be repeated runs on until its time is over, so that it is not cut in the middle. */
    private fun callerGone() {
        val current = call
        retryTimer?.cancel(false)
        if (current == null || state.repeatable) deadlineTimer?.cancel(false)
        if (current == null) search.withdraw() else if (state.repeatable) current.cancel(CallOutcome.CANCELLED)
        end.onCallerGone(if (current == null) "waiting" else "running")
    }

    private companion object {
        /** A request with less time left is not sent. */
        const val MINIMUM_REMAINING_MILLISECONDS = 25L

        /** An answer that the server gives at the deadline is still on its way for so long. */
        const val ANSWER_GRACE_MILLISECONDS = 120L
    }
}
