/*
 * The one answer that a caller gets, with its log line and its metrics.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName

/** Ends the request of [state] once; [onCompleted] hears of it. */
internal class RequestEnd(
    private val context: RequestContext,
    private val state: RequestState,
    private val turn: CallerTurn,
    private val onCompleted: () -> Unit,
) {
    /** Whether the request has its answer. */
    var isCompleted = false
        private set

    /** Whether more of a large answer can be taken now. */
    val isWritable: Boolean get() = turn.isWritable

    /** Answers with [error]; a request that may have run is never said not to have run. */
    fun fail(error: RequestError) {
        if (isCompleted) return
        val isMisleading = state.runs > 0 && error.kind.outcome != Outcome.UNKNOWN
        val reported = if (isMisleading) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error
        context.process.metrics.refused(reported.kind.name)
        complete(
            reported.kind.status,
            "error" to reported.kind,
            "detail" to reported.detail,
            "retryAfter" to reported.retryAfterMilliseconds
        )
        turn.sendError(reported)
    }

    /** Passes on a whole answer of [server]; [body] is given away. */
    fun relay(head: ServerHead, body: ByteBuf, server: ServerName) {
        if (isCompleted) {
            body.release()
        } else {
            complete(head.status, "server" to server)
            turn.send(head.status, ServerRequests.answerHeaders(head.headers, context.names), body)
        }
    }

    /** Begins to pass on a large answer. */
    fun startStream(head: ServerHead) {
        if (!isCompleted) turn.startStream(head.status, ServerRequests.answerHeaders(head.headers, context.names))
    }

    /** Passes on a part of a large answer; [bytes] are given away. */
    fun sendPart(bytes: ByteBuf) {
        if (isCompleted) bytes.release() else turn.sendPart(bytes)
    }

    /** Ends a large answer of [server]. */
    fun endStream(head: ServerHead, server: ServerName) {
        if (isCompleted) return
        complete(head.status, "server" to server)
        turn.endStream()
    }

    /** Breaks a large answer of [server] off. */
    fun abortStream(server: ServerName, cause: BreakCause) {
        if (isCompleted) return
        complete(ErrorKind.ANSWER_CUT_SHORT.status, "server" to server, "cause" to cause)
        turn.abort()
    }

    /** The caller has gone. */
    fun onCallerGone(stage: String) {
        if (!isCompleted) complete(CALLER_GONE_STATUS, "error" to "caller left while $stage")
    }

    private fun complete(status: Int, vararg extraFields: Pair<String, Any?>) {
        isCompleted = true
        val durationMilliseconds = context.process.clock() - state.callerRequest.arrivedAt
        context.process.metrics.answered(state.service.name.text, status, durationMilliseconds)
        val fields = listOf(
            "status" to status,
            "route" to state.route.name,
            "service" to state.service.name,
            "took" to durationMilliseconds,
            "runs" to state.runs,
            "tried" to state.triedServers,
            "version" to context.process.state.configuration?.version,
        )
        context.process.log.request(state.id, "answered", fields + extraFields)
        onCompleted()
    }

    private companion object {
        /** Status under which a request whose caller left is logged. */
        const val CALLER_GONE_STATUS = 499
    }
}
