/*
 * One caller's request on its way: asks a pool for a slot, sends the request, and passes the answer on, tries again or
 * gives up. Whatever happens, the caller gets one answer, and each permit is given back once.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import rhubarbspool.dispatch.AttemptPolicy
import rhubarbspool.dispatch.AttemptState
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.dispatch.NextStep
import rhubarbspool.dispatch.WaitMode
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficService
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** The run of [request] with [id]; [ended] hears once that it is over. */
internal class RequestRun(
    private val context: FlowContext,
    private val id: String,
    private val request: CallerRequest,
    private val route: TrafficRoute,
    private val service: TrafficService,
    private val turn: CallerTurn,
    private val ended: (RequestRun) -> Unit,
) {
    private val repeatable = route.kind.repeatable
    private val dueAt = request.arrivedAt + route.targetMilliseconds
    private val deadlineAt = request.arrivedAt + minOf(route.timeoutMilliseconds, callerTimeout())
    private val key = request.headers.get(context.names.key)?.toIntOrNull()
    private val tried = LinkedHashSet<ServerName>()
    private var stages = ArrayDeque<Stage>()
    private var ask: OpenAsk? = null
    private var call: ServerCall? = null
    private var runs = 0
    private var refusals = 0
    private var retryAfter = DEFAULT_RETRY_MILLISECONDS
    private var over = false
    private var gone = false
    private var timer: Future<*>? = null
    private var pause: Future<*>? = null
    private var askedOwner: BackendEntry? = null

    private data class Stage(val domain: FailureDomainName, val mode: WaitMode)

    /** Begins. */
    fun start() {
        turn.onGone = ::callerLeft
        turn.onWritable = { call?.resume() }
        timer = after(deadlineAt - context.clock()) { deadline() }
        if (service.sharded && (key == null || key !in 0 until OwnershipDocument.KEYS)) {
            fail(RequestError(ErrorKind.KEY_MISSING, "${request.headers.get(context.names.key)}"))
        } else {
            range()?.let { context.load.requested(service.name, it) }
            begin()
        }
    }

    private fun callerTimeout(): Long =
        request.headers.get(context.names.timeout)?.toLongOrNull()?.coerceAtLeast(0) ?: Long.MAX_VALUE / 2

    private fun begin() {
        if (over) return
        if (service.sharded) return askOwner()
        val others = (context.settings.domains - context.settings.domain).shuffled()
        val home = context.settings.domain
        stages = ArrayDeque(
            listOf(Stage(home, WaitMode.IN_TIME)) + others.map { Stage(it, WaitMode.FREE_SLOT) } +
                others.map { Stage(it, WaitMode.IN_TIME) } + Stage(home, WaitMode.UNTIL_DEADLINE),
        )
        nextStage()
    }

    private fun askOwner() {
        val owner = owner()
        if (owner == null) {
            fail(RequestError(ErrorKind.NO_OWNER, "key $key", NO_OWNER_MILLISECONDS))
        } else {
            stages = ArrayDeque()
            askedOwner = owner
            ask(PoolName(service.name.text, owner.domain.text, owner.server.text), WaitMode.UNTIL_DEADLINE)
        }
    }

    /** Owners may have changed: a request that waits for a former owner, or for a new one, asks anew. */
    fun ownersChanged() {
        val owner = owner()
        val moved = owner != null && (owner.server != askedOwner?.server || owner.bornWall != askedOwner?.bornWall)
        if (over || call != null || !moved) return
        pause?.cancel(false)
        pause = null
        withdraw()
        begin()
    }

    /** The range of the key where the service is sharded and has owners. */
    private fun range(): Int? {
        val document = context.state.ownership[service.name]?.document
        return if (document == null || key == null) null else OwnershipDocument.rangeOf(key, document.ranges)
    }

    /** The living owner of the key; null when its life has ended or nobody owns it. */
    private fun owner(): BackendEntry? {
        val document = context.state.ownership[service.name]?.document ?: return null
        val owner = document.owner(range() ?: return null) ?: return null
        return context.state.directory[owner.server]?.takeIf { it.bornWall == owner.bornWall }
    }

    private fun nextStage() {
        val stage = stages.removeFirstOrNull()
        if (stage == null) {
            fail(RequestError(ErrorKind.OVERLOADED, service.name.text, retryAfter))
        } else {
            ask(PoolName(service.name.text, stage.domain.text), stage.mode)
        }
    }

    private fun ask(pool: PoolName, mode: WaitMode) {
        val now = context.clock()
        val avoid = if (pool.server.isEmpty()) tried.map { it.text } else emptyList()
        val question = AskMessage(0, pool, route.priority, dueAt - now, deadlineAt - now, mode, avoid)
        var own: OpenAsk? = null
        var early: DecisionMessage? = null
        own = context.hub.ask(question, now) { decision ->
            val current = own
            if (current == null) early = decision else if (ask === current) decided(current, decision)
        }
        ask = own
        early?.let { decided(own, it) }
    }

    private fun decided(asked: OpenAsk, decision: DecisionMessage) {
        val refusal = decision.refusal
        when {
            decision === PeerLink.LOST -> {
                ask = null
                lost(asked)
            }
            refusal != null -> {
                settle(asked)
                retryAfter = decision.retryAfter
                context.log.request(id, "pool.refused", "pool" to asked.pool, "holder" to asked.holder, "reason" to refusal, "retryAfter" to retryAfter)
                if (stages.isEmpty()) fail(RequestError(refusalError(refusal.name), "${asked.pool}", retryAfter)) else nextStage()
            }
            decision.server.isNotEmpty() && call == null -> permitted(asked, ServerName(decision.server))
        }
    }

    private fun refusalError(reason: String) = if (reason == "NO_SERVER") ErrorKind.NO_OWNER else ErrorKind.OVERLOADED

    /** The instance that dispatched was lost: another one dispatches now. */
    private fun lost(asked: OpenAsk) {
        val current = call
        if (current != null) return current.orphaned()
        context.log.request(id, "pool.lost", "pool" to asked.pool, "holder" to asked.holder)
        if (++refusals > MAXIMUM_LOST) {
            fail(RequestError(ErrorKind.GATE_UNREACHABLE, "${asked.pool}", DEFAULT_RETRY_MILLISECONDS))
        } else {
            begin()
        }
    }

    private fun permitted(asked: OpenAsk, server: ServerName) {
        val now = context.clock()
        val entry = context.state.directory[server]
        val remaining = deadlineAt - now
        if (entry == null || remaining < SHORTEST_SEND_MILLISECONDS) {
            finishAsk(asked, CallOutcome.CANCELLED, 0, null)
            return step(CallOutcome.CANCELLED)
        }
        call = ServerCall(asked, entry).also { it.connect() }
    }

    private fun step(outcome: CallOutcome) {
        if (over) return
        val now = context.clock()
        val state = AttemptState(repeatable, runs, refusals, route.maximumAttempts, deadlineAt - now, service.sharded)
        val next = AttemptPolicy.after(outcome, state) {
            context.allowance(service.name).take(context.slack, now)
        }
        when (next) {
            is NextStep.TryAgain -> {
                context.log.request(id, "retry", "after" to outcome, "runs" to runs, "refusals" to refusals, "remaining" to deadlineAt - now)
                if (next.delayMilliseconds > 0) {
                    pause = after(next.delayMilliseconds) { begin() }
                } else {
                    begin()
                }
            }
            is NextStep.Fail -> fail(RequestError(next.error, "$outcome", retryAfter))
            NextStep.PassOn -> error("an answer to pass on is handled where it arrives")
        }
    }

    /** Ends with an error of the router's own. */
    private fun fail(error: RequestError) {
        if (over) return
        val truth = if (runs > 0 && error.kind.status == UNAVAILABLE) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error
        context.metrics.refused(truth.kind.name)
        finish(truth.kind.status, "error" to truth.kind, "detail" to truth.detail, "retryAfter" to truth.retryAfterMilliseconds)
        turn.refuse(truth)
    }

    private fun finish(status: Int, vararg fields: Pair<String, Any?>) {
        over = true
        timer?.cancel(false)
        val took = context.clock() - request.arrivedAt
        context.metrics.answered(service.name.text, status, took)
        val facts = arrayOf<Pair<String, Any?>>(
            "status" to status,
            "route" to route.name,
            "service" to service.name,
            "took" to took,
            "runs" to runs,
            "tried" to tried,
            "version" to context.state.configuration?.version,
        )
        context.log.request(id, "answered", *facts, *fields)
        ended(this)
    }

    private fun deadline() {
        if (over) return
        val current = call
        if (current == null) {
            withdraw()
            fail(RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "waited", retryAfter))
        } else {
            timer = after(ANSWER_GRACE_MILLISECONDS) { current.deadline() }
        }
    }

    private fun callerLeft() {
        if (over) return
        gone = true
        val current = call
        if (current == null) {
            withdraw()
            finish(CALLER_LEFT, "error" to "caller left while waiting")
        } else if (repeatable) {
            current.cancel()
            finish(CALLER_LEFT, "error" to "caller left while running")
        }
    }

    private fun withdraw() {
        ask?.withdraw(context.clock())
        ask?.let { context.hub.forget(it.id) }
        ask = null
    }

    private fun settle(asked: OpenAsk) {
        context.hub.forget(asked.id)
        asked.withdraw(context.clock())
        if (ask === asked) ask = null
    }

    private fun finishAsk(asked: OpenAsk, outcome: CallOutcome, took: Long, load: ServerLoad?) {
        context.metrics.called(outcome.name)
        val done = DoneMessage(asked.id, asked.pool, outcome, took, load?.running ?: -1, load?.waiting ?: 0, load?.percent ?: 0)
        asked.done(done, context.clock())
        context.hub.forget(asked.id)
        if (ask === asked) ask = null
    }

    private fun after(milliseconds: Long, action: () -> Unit): Future<*> =
        context.loop.schedule(action, maxOf(0, milliseconds), TimeUnit.MILLISECONDS)

    /** The call to one server. */
    private inner class ServerCall(private val asked: OpenAsk, private val entry: BackendEntry) : ExchangeListener {
        private var exchange: ServerExchange? = null
        private var sentAt = 0L
        private var closed = false
        private var headers: ServerHead? = null

        fun connect() {
            val age = if (repeatable) ServerLinks.ANY_AGE else ServerLinks.YOUNG_MILLISECONDS
            context.links.acquire(entry.address, age, ::connected)
        }

        fun resume() {
            exchange?.read(true)
        }

        fun orphaned() = Unit

        fun cancel() {
            if (closed) return
            closed = true
            finishAsk(asked, CallOutcome.CANCELLED, 0, null)
            exchange?.giveUp()
        }

        /** The server did not answer within the deadline and a moment. */
        fun deadline() {
            if (closed || headers != null) return
            closed = true
            finishAsk(asked, CallOutcome.BROKEN, context.clock() - sentAt, null)
            exchange?.giveUp()
            val kind = if (exchange == null) ErrorKind.DEADLINE_BEFORE_RUN else ErrorKind.DEADLINE_AFTER_RUN
            fail(RequestError(kind, "${entry.server}", DEFAULT_RETRY_MILLISECONDS))
        }

        private fun connected(channel: Channel?) {
            val now = context.clock()
            if (closed || over) {
                channel?.let { context.links.release(entry.address, it, 0) }
                if (!closed) finishAsk(asked, CallOutcome.CANCELLED, 0, null)
                return
            }
            if (channel == null) {
                call = null
                refusals++
                tried += entry.server
                finishAsk(asked, CallOutcome.UNREACHABLE, 0, null)
                return step(CallOutcome.UNREACHABLE)
            }
            runs++
            tried += entry.server
            sentAt = now
            val outgoing = ServerRequests.of(request, entry, context.names, deadlineAt - now)
            val started = ServerExchange(channel, outgoing, id, context.names, this) { free, kept ->
                context.links.release(entry.address, free, kept)
            }
            exchange = started
            context.log.request(id, "sent", "server" to entry.server, "domain" to entry.domain, "remaining" to deadlineAt - now, "waited" to now - request.arrivedAt, "key" to key)
            started.start()
        }

        override fun whole(head: ServerHead, body: ByteBuf) {
            if (closed) {
                body.release()
                return
            }
            closed = true
            call = null
            val outcome = outcomeOf(head)
            val took = context.clock() - sentAt
            if (service.sharded && outcome == CallOutcome.ANSWERED) context.load.answered(service.name, entry.server, took)
            finishAsk(asked, outcome, took, ServerLoad.of(head.headers.get(context.names.load)))
            if (outcome == CallOutcome.SHED || outcome == CallOutcome.MISDIRECTED) {
                runs--
                refusals++
                body.release()
                if (outcome == CallOutcome.MISDIRECTED) tried -= entry.server
                return step(outcome)
            }
            if (outcome == CallOutcome.FAULTY && triesAgain(outcome)) {
                body.release()
                return
            }
            if (over) {
                body.release()
                return
            }
            finish(head.status, "server" to entry.server)
            turn.answer(head.status, ServerRequests.answerHeaders(head.headers, context.names), body)
        }

        private fun triesAgain(outcome: CallOutcome): Boolean {
            if (over) return false
            val now = context.clock()
            val state = AttemptState(repeatable, runs, refusals, route.maximumAttempts, deadlineAt - now, service.sharded)
            val next = AttemptPolicy.after(outcome, state) { context.allowance(service.name).take(context.slack, now) }
            if (next is NextStep.TryAgain) begin()
            return next is NextStep.TryAgain
        }

        override fun streamBegan(head: ServerHead) {
            headers = head
            timer?.cancel(false)
            if (!over) turn.begin(head.status, ServerRequests.answerHeaders(head.headers, context.names))
        }

        override fun streamed(bytes: ByteBuf) {
            if (over) {
                bytes.release()
                return
            }
            turn.part(bytes)
            if (!turn.isWritable) exchange?.read(false)
        }

        override fun streamEnded() {
            closed = true
            call = null
            val head = headers ?: return
            finishAsk(asked, CallOutcome.ANSWERED, context.clock() - sentAt, ServerLoad.of(head.headers.get(context.names.load)))
            if (over) return
            finish(head.status, "server" to entry.server)
            turn.end()
        }

        override fun broken(cause: BreakCause, streaming: Boolean) {
            if (closed) return
            closed = true
            call = null
            finishAsk(asked, CallOutcome.BROKEN, context.clock() - sentAt, null)
            context.log.request(id, "broken", "server" to entry.server, "cause" to cause, "streaming" to streaming)
            if (over) return
            if (streaming) {
                finish(ErrorKind.ANSWER_CUT_SHORT.status, "server" to entry.server, "cause" to cause)
                turn.abort()
            } else {
                step(CallOutcome.BROKEN)
            }
        }

        private fun outcomeOf(head: ServerHead): CallOutcome {
            val notRun = head.headers.contains(context.names.notExecuted)
            return when {
                head.status == MISDIRECTED -> CallOutcome.MISDIRECTED
                notRun -> CallOutcome.SHED
                head.status >= FIRST_FAULT -> CallOutcome.FAULTY
                else -> CallOutcome.ANSWERED
            }
        }
    }

    private companion object {
        const val MISDIRECTED = 421
        const val FIRST_FAULT = 500
        const val UNAVAILABLE = 503

        /** Status under which a request whose caller left is logged. */
        const val CALLER_LEFT = 499
        const val MAXIMUM_LOST = 3
        const val DEFAULT_RETRY_MILLISECONDS = 200L

        /** A key whose owner was lost has a new one within seconds. */
        const val NO_OWNER_MILLISECONDS = 500L

        /** A request with less time left is not sent. */
        const val SHORTEST_SEND_MILLISECONDS = 25L

        /** An answer that the server gives at the deadline is still on its way for so long. */
        const val ANSWER_GRACE_MILLISECONDS = 120L
    }
}
