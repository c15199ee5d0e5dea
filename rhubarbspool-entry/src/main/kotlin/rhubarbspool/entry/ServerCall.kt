/*
 * One permitted call: sends the request to the server and reports the result.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import rhubarbspool.dispatch.Attempt
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.traffic.BackendEntry

/** Receives the end of a call if the request continues after it. */
internal interface CallListener {
    /** The call ended with [outcome] without a response to relay; the request may be retried. */
    fun onCallFailed(outcome: CallOutcome)

    /** The server failed. Returns true if the request is retried, and the response is then not relayed. */
    fun tryRetryAfterFault(): Boolean

    /** A streamed response has started. */
    fun onStreamStarted()
}

/** The call of the request of [state] to [entry] with [permit]. */
internal class ServerCall(
    private val context: RequestContext,
    private val state: RequestState,
    private val permit: Permit,
    private val entry: BackendEntry,
    private val end: RequestEnd,
    private val listener: CallListener,
) : ExchangeListener {
    private var sentAt = context.process.clock()
    private var streamHead: ServerHead? = null
    private var attempt: Attempt? = null

    /** The exchange with the server; null until the request is sent. */
    var exchange: ServerExchange? = null
        private set

    /** Acquires a connection and sends the request. */
    fun start() {
        val maximumIdle =
            if (state.repeatable) ServerConnections.NO_IDLE_LIMIT else ServerConnections.ONCE_ONLY_IDLE_MILLISECONDS
        context.connections.acquire(entry.address, maximumIdle, state.id, ::onConnection)
    }

    /** Cancels the call with [outcome]; the server drops the request. */
    fun cancel(outcome: CallOutcome) {
        if (permit.isCompleted) return
        val now = context.process.clock()
        permit.complete(outcome, now - sentAt)
        if (exchange?.isSilent == true) context.connections.onSilence(entry.address, sentAt, now)
        exchange?.abort()
    }

    /**
     * No response arrived by the deadline and its grace time, or a streamed one did not end by its caller's deadline.
     */
    fun onDeadline() {
        if (permit.isCompleted) return
        val kind = if (exchange == null) ErrorKind.DEADLINE_BEFORE_RUN else ErrorKind.DEADLINE_AFTER_RUN
        cancel(CallOutcome.BROKEN)
        if (streamHead == null) {
            end.fail(RequestError(kind, "${entry.server}", RETRY_MILLISECONDS))
        } else {
            end.abortStream(entry.server, BreakCause.GIVEN_UP)
        }
    }

    override fun onAnswer(head: ServerHead, body: ByteBuf) {
        context.notices.observe(head, entry, context.process.clock())
        if (permit.isCompleted) {
            body.release()
            return
        }
        context.unknownHeaders.observe(head.headers)
        val isRefused = attempt?.let { state.resolve(it, head, entry.server) } ?: false
        val outcome = head.outcome(isRefused)
        val now = context.process.clock()
        val duration = now - sentAt
        val limit = context.limits.record(entry, head.limit(context.names), outcome, sentAt, now)
        if (outcome == CallOutcome.ANSWERED) context.load.recordAnswer(state.service, entry.server, duration, limit)
        permit.complete(outcome, duration, ServerLoad.of(head.headers.get(context.names.load)), limit)
        if (isRefused) {
            state.refusals++
            if (outcome == CallOutcome.MISDIRECTED) state.triedServers -= entry.server
            listener.onCallFailed(outcome)
        }
        if (isRefused || (outcome == CallOutcome.FAULTY && listener.tryRetryAfterFault())) {
            body.release()
        } else {
            end.relay(head, body, entry.server)
        }
    }

    override fun onStreamStarted(head: ServerHead) {
        streamHead = head
        context.notices.observe(head, entry, context.process.clock())
        val limit = head.limit(context.names)
        context.limits.record(entry, limit, CallOutcome.ANSWERED, sentAt, context.process.clock())
        listener.onStreamStarted()
        if (!end.startStream(head, entry.server)) cancel(CallOutcome.FAULTY)
    }

    override fun onStreamBytes(bytes: ByteBuf) {
        end.sendPart(bytes)
        if (!end.isCompleted && !end.isWritable) exchange?.isReading = false
    }

    override fun onStreamEnded() {
        val head = streamHead ?: return
        val durationMilliseconds = context.process.clock() - sentAt
        val load = ServerLoad.of(head.headers.get(context.names.load))
        permit.complete(CallOutcome.ANSWERED, durationMilliseconds, load, head.limit(context.names))
        end.endStream(head, entry.server)
    }

    override fun onBroken(cause: BreakCause, streaming: Boolean) {
        if (permit.isCompleted) return
        // A server that sends a wrong response is at work, so it is not avoided like one that can't be reached.
        val outcome = if (cause.isWrongResponse) CallOutcome.FAULTY else CallOutcome.BROKEN
        permit.complete(outcome, context.process.clock() - sentAt)
        context.process.log.request(
            state.id,
            "broken",
            listOf("server" to entry.server, "cause" to cause, "streaming" to streaming),
        )
        if (streaming) end.abortStream(entry.server, cause) else listener.onCallFailed(CallOutcome.BROKEN)
    }

    private fun onConnection(connection: ServerConnection?) {
        val isObsolete = permit.isCompleted || end.isCompleted
        // The deadline may pass while the connection is established, and its timer may not have run yet.
        val isLate = !isObsolete && state.deadlineAt <= context.process.clock()
        val begun = if (isObsolete || isLate || connection == null) null else state.executions.begin()
        when {
            connection != null && begun != null -> send(connection, begun)
            connection == null && !isObsolete -> {
                state.refusals++
                state.triedServers += entry.server
                permit.complete(CallOutcome.UNREACHABLE, 0)
                listener.onCallFailed(CallOutcome.UNREACHABLE)
            }
            else -> {
                connection?.close()
                if (isLate) onDeadline() else cancel(CallOutcome.CANCELLED)
            }
        }
    }

    private fun send(connection: ServerConnection, begun: Attempt) {
        sentAt = context.process.clock()
        attempt = begun
        state.triedServers += entry.server
        val remaining = state.deadlineAt - sentAt
        context.process.log.request(
            state.id,
            "sent",
            listOf(
                "server" to entry.server,
                "domain" to entry.domain,
                "holder" to permit.holder,
                "remaining" to remaining,
                "waited" to sentAt - state.callerRequest.arrivedAt,
                "key" to state.key,
            ),
        )
        val outgoing = ServerRequests.of(state.callerRequest, entry, context.names, remaining)
        val started = ServerExchange(connection, outgoing, state.id, context.names, this)
        exchange = started
        started.start()
    }

    private companion object {
        /** Callers whose request ran into its deadline may retry almost at once. */
        const val RETRY_MILLISECONDS = 200L
    }
}
