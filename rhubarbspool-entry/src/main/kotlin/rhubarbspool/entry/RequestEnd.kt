/*
 * Completes a request: sends its one response and records the log line and metrics.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName

/** Completes the request of [state] once and then calls [onCompleted]. */
internal class RequestEnd(
    private val context: RequestContext,
    private val state: RequestState,
    private val turn: CallerTurn,
    private val onCompleted: () -> Unit,
) {
    /** Whether the request is completed: its response was sent or aborted, or its caller has disconnected. */
    var isCompleted = false
        private set

    /** Whether more of a streamed response can be written without queueing. */
    val isWritable: Boolean get() = turn.isWritable

    /**
     * Sends an error response for [error]. If the request may have run, an error that says otherwise is replaced by
     * [ErrorKind.OUTCOME_UNKNOWN].
     */
    fun fail(error: RequestError) {
        if (isCompleted) return
        val isMisleading = state.runs > 0 && error.kind.outcome != Outcome.UNKNOWN
        val reported = if (isMisleading) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error
        context.process.metrics.recordRefusal(reported.kind.name)
        complete(
            reported.kind.status,
            "error" to reported.kind,
            "detail" to reported.detail,
            "retryAfter" to reported.retryAfterMilliseconds
        )
        turn.sendError(reported)
    }

    /** Relays a whole response of [server]; takes ownership of [body]. */
    fun relay(head: ServerHead, body: ByteBuf, server: ServerName) {
        if (isCompleted) {
            body.release()
        } else {
            complete(head.status, "server" to server)
            turn.send(head.status, ServerRequests.answerHeaders(head.headers, context.names), body)
        }
    }

    /** Starts to relay a streamed response. */
    fun startStream(head: ServerHead) {
        if (!isCompleted) turn.startStream(head.status, ServerRequests.answerHeaders(head.headers, context.names))
    }

    /** Relays a part of a streamed response; takes ownership of [bytes]. */
    fun sendPart(bytes: ByteBuf) {
        if (isCompleted) bytes.release() else turn.sendPart(bytes)
    }

    /** Ends a streamed response of [server]. */
    fun endStream(head: ServerHead, server: ServerName) {
        if (isCompleted) return
        complete(head.status, "server" to server)
        turn.endStream()
    }

    /** Aborts a streamed response of [server]. */
    fun abortStream(server: ServerName, cause: BreakCause) {
        if (isCompleted) return
        complete(ErrorKind.ANSWER_CUT_SHORT.status, "server" to server, "cause" to cause)
        turn.abort()
    }

    /** The caller disconnected at [stage] of the request. */
    fun onCallerGone(stage: String) {
        if (!isCompleted) complete(CALLER_GONE_STATUS, "error" to "caller left while $stage")
    }

    private fun complete(status: Int, vararg extraFields: Pair<String, Any?>) {
        isCompleted = true
        val durationMilliseconds = context.process.clock() - state.callerRequest.arrivedAt
        context.process.metrics.recordAnswer(state.service.name.text, status, durationMilliseconds)
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
        /** Logged status of a request whose caller disconnected. */
        const val CALLER_GONE_STATUS = 499
    }
}
