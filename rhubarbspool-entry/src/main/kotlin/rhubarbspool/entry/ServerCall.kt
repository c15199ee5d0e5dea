/*
 * One permitted call: sends the request to the server and reports how it ended.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.traffic.BackendEntry

/** Hears how a call ended where the request goes on. */
internal interface CallOwner {
    /** The call ended with [outcome] and brought no answer that is passed on; the request may be tried again. */
    fun unanswered(outcome: CallOutcome)

    /** The server failed; true when the request is tried again, and the answer is not passed on. */
    fun triesAgainAfterFault(): Boolean

    /** A large answer has begun. */
    fun streaming()
}

/** The call of the request of [facts] to [entry] with [permit]. */
internal class ServerCall(
    private val flow: FlowContext,
    private val facts: RequestFacts,
    private val permit: Permit,
    private val entry: BackendEntry,
    private val end: RequestEnd,
    private val owner: CallOwner,
) : ExchangeListener {
    private var sentAt = flow.process.clock()
    private var streamed: ServerHead? = null

    /** The exchange with the server, once it was sent. */
    var exchange: ServerExchange? = null
        private set

    /** Gets a connection and sends. */
    fun start() {
        val age = if (facts.repeatable) ServerLinks.ANY_AGE else ServerLinks.YOUNG_MILLISECONDS
        flow.links.acquire(entry.address, age, ::connected)
    }

    /** Gives the call up with [outcome]; the server drops the request. */
    fun close(outcome: CallOutcome) {
        if (permit.isEnded) return
        permit.end(outcome, flow.process.clock() - sentAt, null)
        exchange?.giveUp()
    }

    /** No answer came until the deadline and a moment, or the rest of one until its caller stopped waiting. */
    fun deadline() {
        if (permit.isEnded) return
        val kind = if (exchange == null) ErrorKind.DEADLINE_BEFORE_RUN else ErrorKind.DEADLINE_AFTER_RUN
        close(CallOutcome.BROKEN)
        if (streamed == null) {
            end.refuse(RequestError(kind, "${entry.server}", RETRY_MILLISECONDS))
        } else {
            end.cut(entry.server, BreakCause.GIVEN_UP)
        }
    }

    override fun whole(head: ServerHead, body: ByteBuf) {
        if (permit.isEnded) {
            body.release()
            return
        }
        val outcome = head.outcome(flow.names)
        val took = flow.process.clock() - sentAt
        if (outcome == CallOutcome.ANSWERED) flow.load.recordAnswer(facts.service, entry.server, took)
        permit.end(outcome, took, ServerLoad.of(head.headers.get(flow.names.load)))
        val refused = outcome == CallOutcome.SHED || outcome == CallOutcome.MISDIRECTED
        if (refused) {
            facts.runs--
            facts.refusals++
            if (outcome == CallOutcome.MISDIRECTED) facts.tried -= entry.server
            owner.unanswered(outcome)
        }
        if (refused || (outcome == CallOutcome.FAULTY && owner.triesAgainAfterFault())) {
            body.release()
        } else {
            end.passOn(head, body, entry.server)
        }
    }

    override fun streamBegan(head: ServerHead) {
        streamed = head
        owner.streaming()
        end.begin(head)
    }

    override fun streamed(bytes: ByteBuf) {
        end.part(bytes)
        if (!end.isWritable) exchange?.reads = false
    }

    override fun streamEnded() {
        val head = streamed ?: return
        val took = flow.process.clock() - sentAt
        permit.end(CallOutcome.ANSWERED, took, ServerLoad.of(head.headers.get(flow.names.load)))
        end.end(head, entry.server)
    }

    override fun broken(cause: BreakCause, streaming: Boolean) {
        if (permit.isEnded) return
        permit.end(CallOutcome.BROKEN, flow.process.clock() - sentAt, null)
        flow.process.log.request(
            facts.id,
            "broken",
            listOf("server" to entry.server, "cause" to cause, "streaming" to streaming),
        )
        if (streaming) end.cut(entry.server, cause) else owner.unanswered(CallOutcome.BROKEN)
    }

    private fun connected(channel: Channel?) {
        val unwanted = permit.isEnded || end.isOver
        when {
            unwanted -> {
                channel?.close()
                close(CallOutcome.CANCELLED)
            }
            channel == null -> {
                facts.refusals++
                facts.tried += entry.server
                permit.end(CallOutcome.UNREACHABLE, 0, null)
                owner.unanswered(CallOutcome.UNREACHABLE)
            }
            else -> send(channel)
        }
    }

    private fun send(channel: Channel) {
        sentAt = flow.process.clock()
        facts.runs++
        facts.tried += entry.server
        val remaining = facts.deadlineAt - sentAt
        flow.process.log.request(
            facts.id,
            "sent",
            listOf(
                "server" to entry.server,
                "domain" to entry.domain,
                "holder" to permit.holder,
                "remaining" to remaining,
                "waited" to sentAt - facts.caller.arrivedAt,
                "key" to facts.key,
            ),
        )
        val outgoing = ServerRequests.of(facts.caller, entry, flow.names, remaining)
        val started = ServerExchange(channel, outgoing, facts.id, flow.names, this) { free, kept ->
            flow.links.release(entry.address, free, kept)
        }
        exchange = started
        started.start()
    }

    private companion object {
        /** A caller whose request ran into its deadline may come back at once. */
        const val RETRY_MILLISECONDS = 200L
    }
}
