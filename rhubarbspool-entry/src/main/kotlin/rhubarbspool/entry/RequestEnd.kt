/*
 * The one answer that a caller gets, with its log line and its metrics.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName

/** Ends the request of [facts] once; [ended] hears of it. */
internal class RequestEnd(
    private val flow: FlowContext,
    private val facts: RequestFacts,
    private val turn: CallerTurn,
    private val ended: () -> Unit,
) {
    /** Whether the request has its answer. */
    var isOver = false
        private set

    /** Whether more of a large answer can be taken now. */
    val isWritable: Boolean get() = turn.isWritable

    /** Answers with [error]; a request that may have run is never said not to have run. */
    fun refuse(error: RequestError) {
        if (isOver) return
        val misleads = facts.runs > 0 && error.kind.outcome != Outcome.UNKNOWN
        val truth = if (misleads) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error
        flow.process.metrics.recordRefusal(truth.kind.name)
        finish(
            truth.kind.status,
            "error" to truth.kind,
            "detail" to truth.detail,
            "retryAfter" to truth.retryAfterMilliseconds
        )
        turn.refuse(truth)
    }

    /** Passes on a whole answer of [server]; [body] is given away. */
    fun passOn(head: ServerHead, body: ByteBuf, server: ServerName) {
        if (isOver) {
            body.release()
        } else {
            finish(head.status, "server" to server)
            turn.answer(head.status, ServerRequests.answerHeaders(head.headers, flow.names), body)
        }
    }

    /** Begins to pass on a large answer. */
    fun begin(head: ServerHead) {
        if (!isOver) turn.begin(head.status, ServerRequests.answerHeaders(head.headers, flow.names))
    }

    /** Passes on a part of a large answer; [bytes] are given away. */
    fun part(bytes: ByteBuf) {
        if (isOver) bytes.release() else turn.part(bytes)
    }

    /** Ends a large answer of [server]. */
    fun end(head: ServerHead, server: ServerName) {
        if (isOver) return
        finish(head.status, "server" to server)
        turn.end()
    }

    /** Breaks a large answer of [server] off. */
    fun cut(server: ServerName, cause: BreakCause) {
        if (isOver) return
        finish(ErrorKind.ANSWER_CUT_SHORT.status, "server" to server, "cause" to cause)
        turn.abort()
    }

    /** The caller has gone. */
    fun callerLeft(stage: String) {
        if (!isOver) finish(CALLER_LEFT, "error" to "caller left while $stage")
    }

    private fun finish(status: Int, vararg more: Pair<String, Any?>) {
        isOver = true
        val took = flow.process.clock() - facts.caller.arrivedAt
        flow.process.metrics.recordAnswer(facts.service.name.text, status, took)
        val known = listOf(
            "status" to status,
            "route" to facts.route.name,
            "service" to facts.service.name,
            "took" to took,
            "runs" to facts.runs,
            "tried" to facts.tried,
            "version" to flow.process.state.configuration?.version,
        )
        flow.process.log.request(facts.id, "answered", known + more)
        ended()
    }

    private companion object {
        /** Status under which a request whose caller left is logged. */
        const val CALLER_LEFT = 499
    }
}
