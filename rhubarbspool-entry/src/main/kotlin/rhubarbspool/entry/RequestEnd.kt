/*
 * Completes a request: sends its one response and records the log line and metrics.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import rhubarbspool.dispatch.FinalStatus
import rhubarbspool.errors.ErrorKind
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

    /** Sends an error response for [error], or for an unknown outcome if [error] says otherwise of a possible run. */
    fun fail(error: RequestError) {
        if (isCompleted) return
        val reported = state.executions.truthful(error)
        context.process.metrics.recordRefusal(reported.kind.name)
        complete(
            reported.kind.status,
            "error" to reported.kind,
            "detail" to reported.detail,
            "retryAfter" to reported.retryAfterMilliseconds
        )
        turn.sendError(reported)
    }

    /** Relays a whole response of [server], unless it makes a promise that is not proved; takes ownership of [body]. */
    fun relay(head: ServerHead, body: ByteBuf, server: ServerName) {
        val status = if (isCompleted) null else finalStatus(head, server)
        if (status == null) {
            body.release()
        } else {
            complete(head.status, "server" to server)
            turn.send(status, ServerRequests.answerHeaders(head.headers, context.names), body)
        }
    }

    /**
     * Starts to relay a streamed response of [server]. Returns false if the response makes a promise that is not
     * proved; the request has failed then.
     */
    fun startStream(head: ServerHead, server: ServerName): Boolean {
        if (isCompleted) return true
        val status = finalStatus(head, server)
        status?.let { turn.startStream(it, ServerRequests.answerHeaders(head.headers, context.names)) }
        return status != null
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

    /** The status of a relayed response; null, and the request fails, if it makes a promise that is not proved. */
    private fun finalStatus(head: ServerHead, server: ServerName): FinalStatus? {
        val status = state.executions.finalStatus(head.status)
        if (status == null) fail(RequestError(ErrorKind.REFUSAL_UNPROVEN, "$server ${head.status}"))
        return status
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
            "attempts" to state.executions.attemptCount,
            "runs" to state.executions.possibleRuns,
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
