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

/** The run of the request of [facts], which [end] answers. */
internal class RequestRun(
    private val flow: FlowContext,
    private val facts: RequestFacts,
    private val end: RequestEnd,
) : CallOwner, SearchEvents {
    private val search = PoolSearch(flow, facts, this)
    private var call: ServerCall? = null
    private var timer: Future<*>? = null
    private var pause: Future<*>? = null

    /** Begins; the answer goes to [turn]. */
    fun start(turn: CallerTurn) {
        turn.onGone = ::callerLeft
        turn.onWritable = { call?.exchange?.reads = true }
        timer = flow.after(facts.deadlineAt - flow.process.clock(), ::deadline)
        if (facts.service.sharded && facts.key == null) {
            end.refuse(RequestError(ErrorKind.KEY_MISSING, facts.route.name))
        } else {
            facts.range()?.let { flow.load.recordRequest(facts.service, it) }
            search.begin()
        }
    }

    /** Owners may have changed: a request that waits for a former owner, or for a new one, asks anew. */
    fun ownersChanged() {
        val owner = facts.owner(flow.process.clock())
        val asked = search.askedOwner
        val moved = owner != null && (owner.server != asked?.server || owner.bornWall != asked.bornWall)
        if (end.isOver || call != null || !moved) return
        pause?.cancel(false)
        search.withdraw()
        search.begin()
    }

    override fun permitted(asked: PendingSlotRequest, server: ServerName) {
        val now = flow.process.clock()
        val directory = flow.process.state.directory
        val entry = directory[server]?.takeIf { directory.mayStillServe(server, now) }
        val remaining = facts.deadlineAt - now
        if (entry == null || remaining < SHORTEST_SEND_MILLISECONDS) {
            search.withdraw()
            facts.refusals++
            facts.tried += server
            unanswered(CallOutcome.CANCELLED)
        } else {
            call = ServerCall(flow, facts, Permit(flow, asked), entry, end, this).also { it.start() }
        }
    }

    override fun refused(error: RequestError) = end.refuse(error)

    override fun unanswered(outcome: CallOutcome) {
        call = null
        if (end.isOver) return
        val now = flow.process.clock()
        when (val next = AttemptPolicy.nextStep(outcome, facts.attempts(now)) { facts.takeRetry(now) }) {
            is NextStep.Retry -> tryAgain(outcome, next.delayMilliseconds)
            is NextStep.Fail -> end.refuse(RequestError(next.error, "$outcome", search.retryAfter))
            NextStep.RelayAnswer -> error("an answer is passed on where it arrives")
        }
    }

    override fun triesAgainAfterFault(): Boolean {
        call = null
        val now = flow.process.clock()
        val next = AttemptPolicy.nextStep(CallOutcome.FAULTY, facts.attempts(now)) { facts.takeRetry(now) }
        val again = !end.isOver && next is NextStep.Retry
        if (again) tryAgain(CallOutcome.FAULTY, 0)
        return again
    }

    /** An answer that has begun is passed on while its caller waits; one without end is cut off then. */
    override fun streaming() {
        timer?.cancel(false)
        val left = facts.leavesAt - flow.process.clock()
        timer = flow.after(left + ANSWER_GRACE_MILLISECONDS) { call?.deadline() }
    }

    private fun tryAgain(cause: CallOutcome, delay: Long) {
        val remaining = facts.deadlineAt - flow.process.clock()
        flow.process.log.request(
            facts.id,
            "retry",
            listOf("after" to cause, "runs" to facts.runs, "refusals" to facts.refusals, "remaining" to remaining),
        )
        if (delay > 0) pause = flow.after(delay) { if (!end.isOver) search.begin() } else search.begin()
    }

    private fun deadline() {
        val current = call
        if (current == null) {
            search.withdraw()
            end.refuse(RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "waited", search.retryAfter))
        } else {
            timer = flow.after(ANSWER_GRACE_MILLISECONDS, current::deadline)
        }
    }

    /** A request that can't be repeated runs on until its time is over, so that it is not cut in the middle. */
    private fun callerLeft() {
        val current = call
        pause?.cancel(false)
        if (current == null || facts.repeatable) timer?.cancel(false)
        if (current == null) search.withdraw() else if (facts.repeatable) current.close(CallOutcome.CANCELLED)
        end.callerLeft(if (current == null) "waiting" else "running")
    }

    private companion object {
        /** A request with less time left is not sent. */
        const val SHORTEST_SEND_MILLISECONDS = 25L

        /** An answer that the server gives at the deadline is still on its way for so long. */
        const val ANSWER_GRACE_MILLISECONDS = 120L
    }
}
