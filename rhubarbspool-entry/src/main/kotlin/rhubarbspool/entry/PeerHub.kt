/*
 * Slot requests to pools: chooses the instance that dispatches for a pool, and sends it the request.
 */
package rhubarbspool.entry

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** A slot request that was sent; [withdraw] or [done] ends it. */
internal class PendingSlotRequest(
    val id: Long,
    val pool: PoolName,
    val dispatcher: InstanceName,
    private val link: PeerLink?,
    private val hub: PeerHub,
) {
    /** Returns the permit with the result of its call. */
    fun done(end: DoneMessage, now: Long) {
        hub.removeCallback(id)
        if (link == null) hub.pools.complete(hub.self, end, now) else link.sendMessage(PeerMessage(done = end), now, id)
    }

    /** Cancels the slot request. */
    fun withdraw(now: Long) {
        val message = WithdrawMessage(id, pool)
        hub.removeCallback(id)
        if (link == null) {
            hub.pools.withdraw(hub.self, message, now)
        } else {
            link.sendMessage(PeerMessage(withdraw = message), now, id)
        }
    }
}

/** Sends slot requests and load reports; [events] receives the feed versions of other instances. */
internal class PeerHub(
    private val context: ProcessContext,
    val pools: PoolService,
    transport: PeerTransport,
    private val events: PeerEvents,
) : LinkEvents {
    /** Name of this process as a client of pools. */
    val self = "${context.settings.instance}/${context.clock()}"
    private val links = PeerLinks(context, transport, self, this)
    private val reachability = context.reachability
    private val localCallbacks = HashMap<Long, (DecisionMessage) -> Unit>()
    private var nextId = 0L
    private var lastGossipAt = 0L

    /** Probes of other instances. */
    val probes = PeerProbes(context, links)

    init {
        pools.attach(self) { decision -> localCallbacks[decision.id]?.invoke(decision) }
    }

    /** Sends [request] to the instance that dispatches for its pool; calls [onDecision] with every decision. */
    fun requestSlot(request: SlotRequestMessage, now: Long, onDecision: (DecisionMessage) -> Unit): PendingSlotRequest {
        val numbered = request.copy(id = ++nextId)
        val dispatcher = dispatcherOf(numbered.pool)?.takeIf { it.instance != context.settings.instance }
        val link = dispatcher?.let(links::to)
        if (link == null) {
            localCallbacks[numbered.id] = onDecision
            pools.submit(self, numbered, now)
        } else {
            link.requestSlot(numbered, now) { decision ->
                if (decision === PeerLink.LOST || decision === PeerLink.SILENT) {
                    context.recordLoss(dispatcher, decision === PeerLink.SILENT)
                }
                onDecision(decision)
            }
        }
        return PendingSlotRequest(
            numbered.id,
            numbered.pool,
            dispatcher?.instance ?: context.settings.instance,
            link,
            this,
        )
    }

    /** Removes the callback of the local slot request [id]. */
    fun removeCallback(id: Long) {
        localCallbacks.remove(id)
    }

    /** Tells the instances that this one is connected to, and the [coordinator] if there is one, of [leaving]. */
    fun announce(leaving: LeavingMessage, coordinator: InstanceName?, now: Long) {
        val member = coordinator?.takeIf { it != context.settings.instance }?.let { context.state.shared.members[it] }
        val targets = links.all.toSet() + setOfNotNull(member?.let(links::to))
        targets.forEach { it.sendMessage(PeerMessage(leaving = listOf(leaving)), now) }
    }

    /** Sends [load] to [instance]. */
    fun sendLoad(instance: InstanceName, load: LoadMessage, now: Long) {
        val member = context.state.shared.members[instance] ?: return
        if (instance == context.settings.instance) {
            events.onLoad(load)
        } else {
            links.to(member).sendMessage(PeerMessage(load = load), now)
        }
    }

    /**
     * Closes connections that are idle or timed out at [now], and exchanges feed versions with a random instance, one
     * that it is connected to if there is any.
     */
    fun tick(now: Long) {
        probes.tick(now)
        if (now - lastGossipAt >= GOSSIP_MILLISECONDS) {
            lastGossipAt = now
            val connected = links.all.map { it.member }
            val self = setOfNotNull(context.state.shared.members[context.settings.instance])
            val others = connected.ifEmpty { context.state.shared.members.values - self }
            others.randomOrNull()?.let { other -> links.to(other).sendMessage(PeerMessage(ping = true), now) }
        }
        links.all.filter { it.isTimedOut(now) || it.isIdle(now) }.forEach { it.abandon() }
    }

    /** Whether no instance of [domain] can be reached. */
    fun isCutOff(domain: FailureDomainName): Boolean = reachability.isCutOff(domain)

    override fun onMessage(link: PeerLink, versions: FeedVersions?) {
        probes.onResponse(link.member)
        context.recordContact(link.member, versions)
        versions?.let(events::onFeedVersions)
    }

    override fun onClosed(link: PeerLink) = links.remove(link)

    private fun dispatcherOf(pool: PoolName): Member? {
        fun isReachable(member: Member) =
            member.instance == context.settings.instance || !reachability.isAvoided(member.instance)
        val duties = context.duties
        return duties.dispatchersOf(pool).firstOrNull(::isReachable)
            ?: duties.dispatchersIn(FailureDomainName(pool.domain)).firstOrNull(::isReachable)
            ?: duties.dispatchersIn(context.settings.domain).firstOrNull(::isReachable)
    }

    private companion object {
        /** Versions of new rows reach most instances within a few intervals, also where there are no requests. */
        const val GOSSIP_MILLISECONDS = 500L
    }
}
