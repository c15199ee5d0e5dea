/*
 * Questions to the pools: chooses the instance that dispatches for a pool, and asks it.
 */
package rhubarbspool.entry

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.placement.InstanceReachability
import rhubarbspool.placement.Rendezvous

/** A question that was asked; [withdraw] or [done] end it. */
internal class OpenAsk(
    val id: Long,
    val pool: PoolName,
    val holder: InstanceName,
    private val link: PeerLink?,
    private val hub: PeerHub,
) {
    /** Gives the permit back. */
    fun done(done: DoneMessage, now: Long) {
        hub.forget(id)
        if (link == null) hub.pools.complete(hub.self, done, now) else link.tell(PeerMessage(done = done), now, id)
    }

    /** Takes the question back. */
    fun withdraw(now: Long) {
        val message = WithdrawMessage(id, pool)
        hub.forget(id)
        if (link == null) {
            hub.pools.withdraw(hub.self, message, now)
        } else {
            link.tell(PeerMessage(withdraw = message), now, id)
        }
    }
}

/** Asks for slots; [heard] hears how far other instances have read. */
internal class PeerHub(
    private val context: ProcessContext,
    val pools: PoolService,
    private val transport: PeerTransport,
    private val events: PeerEvents,
) : LinkEvents {
    /** Name of this process among those that ask. */
    val self = "${context.settings.instance}/${context.clock()}"
    private val links = HashMap<Address, PeerLink>()
    private val reach = InstanceReachability()
    private val local = HashMap<Long, (DecisionMessage) -> Unit>()
    private var nextId = 0L
    private var gossipedAt = 0L

    init {
        pools.attach(self) { decision -> local[decision.id]?.invoke(decision) }
    }

    /** Asks the instance that dispatches for the pool of [question] at [now]. */
    fun ask(question: AskMessage, now: Long, decided: (DecisionMessage) -> Unit): OpenAsk {
        val ask = question.copy(id = ++nextId)
        val holder = holderOf(ask.pool, now)?.takeIf { it.instance != context.settings.instance }
        val link = holder?.let(::linkTo)
        if (link == null) {
            local[ask.id] = decided
            pools.submit(self, ask, now)
        } else {
            link.ask(ask, now) { decision ->
                if (decision === PeerLink.LOST || decision === PeerLink.SILENT) {
                    lost(holder, decision === PeerLink.SILENT)
                }
                decided(decision)
            }
        }
        return OpenAsk(ask.id, ask.pool, holder?.instance ?: context.settings.instance, link, this)
    }

    /** Forgets the callback of a local question. */
    fun forget(id: Long) {
        local.remove(id)
    }

    /** Tells [instance] about load at [now]. */
    fun report(instance: InstanceName, load: LoadMessage, now: Long) {
        val member = context.state.shared.members[instance] ?: return
        if (instance == context.settings.instance) {
            events.loaded(load)
        } else {
            linkTo(member).tell(PeerMessage(load = load), now)
        }
    }

    /** Gives up connections that went silent by [now], and exchanges versions with some other instance. */
    fun tick(now: Long) {
        if (now - gossipedAt >= GOSSIP_MILLISECONDS) {
            gossipedAt = now
            val others = context.state.shared.members.values.filter { it.instance != context.settings.instance }
            others.randomOrNull()?.let { other -> linkTo(other).tell(PeerMessage(ping = true), now) }
        }
        links.values.filter { it.isSilent(now) || it.isUnused(now) }.forEach { it.giveUp() }
    }

    /** Whether no instance of [domain] can be reached at [now]. */
    fun isCutOff(domain: FailureDomainName, now: Long): Boolean = reach.isCutOff(domain, now)

    override fun heard(link: PeerLink, news: NewsMessage?) {
        reach.recordContact(link.member.domain, context.clock())
        news?.let(events::heard)
    }

    override fun lost(link: PeerLink) {
        links.values.removeAll { it === link }
    }

    private fun holderOf(pool: PoolName, now: Long): Member? {
        val members = context.state.shared.members.values
        val known = members.filter { it.instance == context.settings.instance || !reach.isAvoided(it.instance, now) }
        val near = known.filter { it.domain.text == pool.domain }
        val candidates = near.ifEmpty { known.filter { it.domain == context.settings.domain } }
        val subject = "${pool.service}/${pool.domain}/${pool.server}"
        return candidates.maxWithOrNull(
            compareBy({ Rendezvous.score(subject, it.instance.text) }, { it.instance.text }),
        )
    }

    private fun lost(member: Member, silent: Boolean) {
        val now = context.clock()
        val isNews = reach.recordLoss(member.instance, member.domain, silent, now)
        val cutOff = isCutOff(member.domain, now)
        if (!isNews) return
        context.log.belief(
            "instance",
            "instance" to member.instance,
            "state" to if (silent) "silent" else "unreachable",
            "domain" to member.domain,
            "cutOff" to cutOff,
        )
    }

    private fun linkTo(member: Member): PeerLink =
        links.getOrPut(member.peers) { PeerLink(context, transport, member, self, this) }

    private companion object {
        /** News of rows reaches most instances within a few rounds, also where there are no requests. */
        const val GOSSIP_MILLISECONDS = 250L
    }
}
