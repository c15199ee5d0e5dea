/*
 * The instance's side of all talk with other instances: who dispatches for a pool, questions to it, and the
 * connections of others that ask here.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.model.Address
import rhubarbspool.model.InstanceName
import rhubarbspool.placement.Rendezvous

/** A question that was asked; [withdraw] or [done] end it. */
internal class OpenAsk(
    val id: Long,
    val pool: PoolName,
    val holder: InstanceName,
    private val link: PeerLink?,
    private val service: PoolService,
    private val owner: String,
) {
    fun done(done: DoneMessage, now: Long) = link?.done(done, now) ?: service.done(owner, done, now)

    fun withdraw(now: Long) {
        val message = WithdrawMessage(id, pool)
        link?.withdraw(message, now) ?: service.withdraw(owner, message, now)
    }
}

/** Talks with the other instances. */
internal class PeerHub(
    private val settings: EntrySettings,
    private val state: EntryState,
    private val service: PoolService,
    private val transport: PeerTransport,
    private val log: DecisionLog,
    private val clock: () -> Long,
    private val behind: (Feed) -> Unit,
) {
    /** Passes rows on to those that ask here. */
    lateinit var source: RowSource

    /** Hears load reports of other instances. */
    var onLoad: (LoadMessage) -> Unit = {}

    private val self = "${settings.instance}/${clock()}"
    private val links = HashMap<Address, PeerLink>()
    private val suspects = HashMap<InstanceName, Long>()
    private val local = HashMap<Long, (DecisionMessage) -> Unit>()
    private var nextId = 0L

    /** Listens for other instances. */
    fun listen(): Channel {
        service.attach(self) { decision -> local[decision.id]?.invoke(decision) }
        return transport.listen(settings.peers, ::accept)
    }

    /** Asks the instance that dispatches for the pool of [ask] at [now]. */
    fun ask(ask: AskMessage, now: Long, decided: (DecisionMessage) -> Unit): OpenAsk {
        val numbered = ask.copy(id = ++nextId)
        val holder = holderOf(numbered.pool, now)
        if (holder == null || holder.instance == settings.instance) {
            local[numbered.id] = decided
            val open = OpenAsk(numbered.id, ask.pool, settings.instance, null, service, self)
            service.ask(self, numbered, now)
            return open
        }
        val link = links.getOrPut(holder.peers) { link(holder) }
        link.ask(numbered, now) { decision ->
            if (decision === PeerLink.LOST) suspect(holder.instance)
            decided(decision)
        }
        return OpenAsk(numbered.id, ask.pool, holder.instance, link, service, self)
    }

    /** Tells [instance] about load at [now]. */
    fun report(instance: InstanceName, load: LoadMessage, now: Long) {
        val member = state.members[instance] ?: return
        if (instance == settings.instance) onLoad(load) else links.getOrPut(member.peers) { link(member) }.tell(load, now)
    }

    /** Forgets the callback of a local question. */
    fun forget(id: Long) {
        local.remove(id)
    }

    /** Gives up connections that went silent by [now]. */
    fun tick(now: Long) {
        links.values.filter { it.isSilent(now) }.forEach { it.giveUp() }
        links.entries.filter { it.value.isUnused(now) }.forEach { it.value.giveUp() }
        suspects.values.removeAll { it <= now }
    }

    /** The other instances and this one in the order in which they dispatch for [pool]. */
    private fun holderOf(pool: PoolName, now: Long): Member? {
        val known = state.members.values.filter { isUsable(it.instance, now) }
        val near = known.filter { it.domain.text == pool.domain }
        val candidates = near.ifEmpty { known.filter { it.domain == settings.domain } }
        val subject = "${pool.service}/${pool.domain}/${pool.server}"
        return candidates.maxWithOrNull(
            compareBy({ Rendezvous.score(subject, it.instance.text) }, { it.instance.text }),
        )
    }

    private fun isUsable(instance: InstanceName, now: Long): Boolean =
        instance == settings.instance || (suspects[instance] ?: 0) <= now

    private fun suspect(instance: InstanceName) {
        val until = clock() + SUSPECT_MILLISECONDS
        if (suspects.put(instance, until) == null) log.belief("instance", "instance" to instance, "state" to "unreachable")
    }

    private fun link(holder: Member) = PeerLink(
        transport,
        holder.peers,
        self,
        clock,
        state::news,
        ::heard,
        { closed -> links.entries.removeAll { it.value === closed } },
    )

    private fun accept(channel: Channel): PeerListener = object : PeerListener {
        private var owner: String? = null

        override fun received(message: PeerMessage) {
            val now = clock()
            if (message.hello.isNotEmpty()) introduce(message.hello)
            message.news?.let(::heard)
            message.subscribe?.let { source.subscribed(channel, it) }
            message.load?.let(onLoad)
            val asker = owner ?: return
            message.ask?.let { service.ask(asker, it, now) }
            message.done?.let { service.done(asker, it, now) }
            message.withdraw?.let { service.withdraw(asker, it, now) }
            if (message.ping || message.news != null) transport.send(channel, PeerMessage(news = state.news()))
        }

        override fun closed() {
            source.closed(channel)
            owner?.let { service.detach(it, clock()) }
        }

        private fun introduce(name: String) {
            val unique = "$name#${channel.id().asShortText()}"
            owner = unique
            service.attach(unique) { transport.send(channel, PeerMessage(decision = it)) }
        }
    }

    private fun heard(news: NewsMessage) {
        Feed.entries.filter { news.of(it) > state.news().of(it) }.forEach(behind)
    }

    private companion object {
        /** How long an instance that could not be reached is passed over. */
        const val SUSPECT_MILLISECONDS = 1_500L
    }
}
