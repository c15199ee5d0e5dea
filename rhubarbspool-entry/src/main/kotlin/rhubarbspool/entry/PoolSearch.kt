/*
 * Searches for a slot for one request: asks the pool of the key's owner, or the pool of the local failure domain and
 * then those of the other domains.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.PoolRefusal
import rhubarbspool.dispatch.WaitMode
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/** Receives the result of a search. */
internal interface SearchListener {
    /** The pool granted [ask] a permit for [server]. */
    fun onPermit(ask: PendingSlotRequest, server: ServerName)

    /** No slot is available. */
    fun onRefused(error: RequestError)
}

/** Searches for a slot for the request of [state]. */
internal class PoolSearch(
    private val context: RequestContext,
    private val state: RequestState,
    private val listener: SearchListener,
) {
    private data class Stage(val domain: FailureDomainName, val mode: WaitMode)

    private var stages = ArrayDeque<Stage>()
    private var pendingAsk: PendingSlotRequest? = null
    private var hasPermit = false
    private var lossCount = 0

    /** The owner whose pool was asked last. */
    var askedOwner: BackendEntry? = null
        private set

    /** Milliseconds after which a caller that is refused may retry. */
    var retryAfter: Long = DEFAULT_RETRY_MILLISECONDS
        private set

    /** Starts the search, or restarts it from the beginning. */
    fun start() {
        val now = context.process.clock()
        val localDomain = context.process.settings.domain
        val owner = if (state.service.sharded) state.owner(now) else null
        hasPermit = false
        askedOwner = owner
        stages = ArrayDeque()
        val refusal = owner?.let { refusalFor(it, now) }
        if (refusal != null) {
            listener.onRefused(refusal)
        } else if (owner != null) {
            submitAsk(PoolName(state.service.name.text, owner.domain.text, owner.server.text), WaitMode.UNTIL_DEADLINE)
        } else if (state.service.sharded) {
            listener.onRefused(RequestError(ErrorKind.NO_OWNER, "key ${state.key}", NO_OWNER_RETRY_MILLISECONDS))
        } else {
            val remoteDomains = (context.process.settings.domains - localDomain)
                .filterNot { context.hub.isCutOff(it) }
                .shuffled()
            stages += Stage(localDomain, WaitMode.IN_TIME)
            stages += remoteDomains.map { Stage(it, WaitMode.FREE_SLOT) } +
                remoteDomains.map { Stage(it, WaitMode.IN_TIME) }
            stages += Stage(localDomain, WaitMode.UNTIL_DEADLINE)
            submitNextStage()
        }
    }

    /** Why a request for a key of [owner] can't be served at [now]; null if it can. */
    private fun refusalFor(owner: BackendEntry, now: Long): RequestError? {
        val pause = context.notices.remainingPause(owner, now)
        val isCutOff = owner.domain != context.process.settings.domain && context.hub.isCutOff(owner.domain)
        return when {
            isCutOff -> {
                val detail = "${owner.domain} is cut off"
                RequestError(ErrorKind.GATE_UNREACHABLE, detail, NO_OWNER_RETRY_MILLISECONDS)
            }
            pause > 0 -> RequestError(ErrorKind.OVERLOADED, "${owner.server} is paused", pause)
            else -> null
        }
    }

    /** Withdraws the pending ask. */
    fun withdraw() {
        pendingAsk?.withdraw(context.process.clock())
        pendingAsk = null
    }

    private fun submitNextStage() {
        val stage = stages.removeFirst()
        submitAsk(PoolName(state.service.name.text, stage.domain.text), stage.mode)
    }

    private fun submitAsk(pool: PoolName, mode: WaitMode) {
        val now = context.process.clock()
        val avoided = if (pool.server.isEmpty()) state.triedServers + context.notices.paused(now) else emptySet()
        val dueIn = state.dueAt - now
        val deadlineIn = state.deadlineAt - now
        val limits = context.limits.of(pool, now)
        val message = SlotRequestMessage(
            0,
            pool,
            state.route.priority,
            dueIn,
            deadlineIn,
            mode,
            avoided.map { it.text },
            limits,
            context.notices.leaving(pool, now),
        )
        var earlyDecision: DecisionMessage? = null
        var submitted: PendingSlotRequest? = null
        submitted = context.hub.requestSlot(message, now) { decision ->
            if (submitted == null) earlyDecision = decision else if (pendingAsk === submitted) onDecision(decision)
        }
        pendingAsk = submitted
        earlyDecision?.let(::onDecision)
    }

    private fun onDecision(decision: DecisionMessage) {
        val ask = pendingAsk ?: return
        when {
            decision === PeerLink.LOST || decision === PeerLink.SILENT -> onInstanceLost(ask)
            decision.refusal != null -> onPoolRefusal(ask, decision.refusal, decision.retryAfter)
            decision.server.isNotEmpty() && !hasPermit -> {
                hasPermit = true
                listener.onPermit(ask, ServerName(decision.server))
            }
        }
    }

    private fun onPoolRefusal(ask: PendingSlotRequest, reason: PoolRefusal, retry: Long) {
        withdraw()
        retryAfter = maxOf(retry, context.notices.remainingPause(state.service, context.process.clock()))
        val decision = listOf("pool" to ask.pool, "holder" to ask.dispatcher, "reason" to reason, "retryAfter" to retry)
        context.process.log.request(state.id, "pool.refused", decision)
        val kind = if (reason == PoolRefusal.NO_SERVER) ErrorKind.NO_OWNER else ErrorKind.OVERLOADED
        if (stages.isEmpty()) listener.onRefused(RequestError(kind, "${ask.pool}", retryAfter)) else submitNextStage()
    }

    /**
     * The instance that dispatches for the pool was lost; another instance does so now, and the search restarts. A call
     * in flight continues without it.
     */
    private fun onInstanceLost(ask: PendingSlotRequest) {
        if (hasPermit) return
        pendingAsk = null
        context.process.log.request(state.id, "pool.lost", listOf("pool" to ask.pool, "holder" to ask.dispatcher))
        if (++lossCount > MAXIMUM_LOSSES) {
            listener.onRefused(RequestError(ErrorKind.GATE_UNREACHABLE, "${ask.pool}", DEFAULT_RETRY_MILLISECONDS))
        } else {
            start()
        }
    }

    private companion object {
        /** Lost instances after which a request fails. */
        const val MAXIMUM_LOSSES = 3
        const val DEFAULT_RETRY_MILLISECONDS = 200L

        /** A key whose owner was lost gets a new owner within seconds. */
        const val NO_OWNER_RETRY_MILLISECONDS = 500L
    }
}
