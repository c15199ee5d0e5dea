/*
 * The search of one request for a slot: asks the owner of its key, or the servers of this domain and then of others.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.PoolRefusal
import rhubarbspool.dispatch.WaitMode
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry

/** Hears how a search ended. */
internal interface SearchEvents {
    /** The permit of [asked] for [server] was given. */
    fun permitted(asked: PendingSlotRequest, server: ServerName)

    /** No slot can be had. */
    fun refused(error: RequestError)
}

/** Searches for the request of [facts]. */
internal class PoolSearch(
    private val flow: FlowContext,
    private val facts: RequestFacts,
    private val events: SearchEvents,
) {
    private data class Stage(val domain: FailureDomainName, val mode: WaitMode)

    private var stages = ArrayDeque<Stage>()
    private var ask: PendingSlotRequest? = null
    private var hasPermit = false
    private var lost = 0

    /** The owner that was asked last. */
    var askedOwner: BackendEntry? = null
        private set

    /** When a caller that is refused may come back. */
    var retryAfter: Long = DEFAULT_RETRY_MILLISECONDS
        private set

    /** Begins anew. */
    fun begin() {
        val now = flow.process.clock()
        val home = flow.process.settings.domain
        val owner = if (facts.service.sharded) facts.owner(now) else null
        hasPermit = false
        askedOwner = owner
        stages = ArrayDeque()
        if (owner != null && owner.domain != home && flow.hub.isCutOff(owner.domain, now)) {
            val detail = "${owner.domain} is cut off"
            events.refused(RequestError(ErrorKind.GATE_UNREACHABLE, detail, NO_OWNER_MILLISECONDS))
        } else if (owner != null) {
            ask(PoolName(facts.service.name.text, owner.domain.text, owner.server.text), WaitMode.UNTIL_DEADLINE)
        } else if (facts.service.sharded) {
            events.refused(RequestError(ErrorKind.NO_OWNER, "key ${facts.key}", NO_OWNER_MILLISECONDS))
        } else {
            val others = (flow.process.settings.domains - home).filterNot { flow.hub.isCutOff(it, now) }.shuffled()
            stages += Stage(home, WaitMode.IN_TIME)
            stages += others.map { Stage(it, WaitMode.FREE_SLOT) } + others.map { Stage(it, WaitMode.IN_TIME) }
            stages += Stage(home, WaitMode.UNTIL_DEADLINE)
            nextStage()
        }
    }

    /** Gives up what was asked. */
    fun withdraw() {
        ask?.withdraw(flow.process.clock())
        ask = null
    }

    private fun nextStage() {
        val stage = stages.removeFirst()
        ask(PoolName(facts.service.name.text, stage.domain.text), stage.mode)
    }

    private fun ask(pool: PoolName, mode: WaitMode) {
        val now = flow.process.clock()
        val avoid = if (pool.server.isEmpty()) facts.tried.map { it.text } else emptyList()
        val due = facts.dueAt - now
        val question = SlotRequestMessage(0, pool, facts.route.priority, due, facts.deadlineAt - now, mode, avoid)
        var early: DecisionMessage? = null
        var own: PendingSlotRequest? = null
        own = flow.hub.requestSlot(question, now) { decision ->
            if (own == null) early = decision else if (ask === own) decided(decision)
        }
        ask = own
        early?.let(::decided)
    }

    private fun decided(decision: DecisionMessage) {
        val asked = ask ?: return
        when {
            decision === PeerLink.LOST || decision === PeerLink.SILENT -> lost(asked)
            decision.refusal != null -> refused(asked, decision.refusal, decision.retryAfter)
            decision.server.isNotEmpty() && !hasPermit -> {
                hasPermit = true
                events.permitted(asked, ServerName(decision.server))
            }
        }
    }

    private fun refused(asked: PendingSlotRequest, reason: PoolRefusal, retry: Long) {
        withdraw()
        retryAfter = retry
        val decision = listOf(
            "pool" to asked.pool,
            "holder" to asked.dispatcher,
            "reason" to reason,
            "retryAfter" to retry,
        )
        flow.process.log.request(facts.id, "pool.refused", decision)
        val kind = if (reason == PoolRefusal.NO_SERVER) ErrorKind.NO_OWNER else ErrorKind.OVERLOADED
        if (stages.isEmpty()) events.refused(RequestError(kind, "${asked.pool}", retry)) else nextStage()
    }

    /** The instance that dispatched was lost: another one does now. A call that runs goes on without it. */
    private fun lost(asked: PendingSlotRequest) {
        if (hasPermit) return
        ask = null
        flow.process.log.request(facts.id, "pool.lost", listOf("pool" to asked.pool, "holder" to asked.dispatcher))
        if (++lost > MAXIMUM_LOST) {
            events.refused(RequestError(ErrorKind.GATE_UNREACHABLE, "${asked.pool}", DEFAULT_RETRY_MILLISECONDS))
        } else {
            begin()
        }
    }

    private companion object {
        /** Instances that may be lost under one request before it is given up. */
        const val MAXIMUM_LOST = 3
        const val DEFAULT_RETRY_MILLISECONDS = 200L

        /** A key whose owner was lost has a new one within seconds. */
        const val NO_OWNER_MILLISECONDS = 500L
    }
}
