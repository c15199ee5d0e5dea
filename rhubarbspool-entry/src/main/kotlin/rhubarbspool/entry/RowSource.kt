/*
 * Where this instance learns the platform's rows from. One instance in each failure domain reads the table and passes
 * rows on; the others read for themselves only when no instance can be reached that does. An instance that can't read
 * says so, and the next in line is asked.
 */
package rhubarbspool.entry

import rhubarbspool.model.InstanceName
import rhubarbspool.placement.ReaderChoice
import rhubarbspool.placement.Rendezvous
import rhubarbspool.placement.TableOutage

/** Chooses between reading and being told, and passes on what is read; [changed] hears of news. */
internal class RowSource(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    table: PlatformTable,
    private val changed: () -> Unit,
) : SubscriptionEvents {
    private val self = context.settings.instance
    private val outage = TableOutage()
    private val followers = Feed.entries.associateWith { FeedFollower(it, table, context, outage, ::told) }
    private val choice = ReaderChoice()

    /** Instances that learn from this one. */
    val subscribers = RowSubscribers(context, transport, ::troubledAgo)
    private var subscription: Subscription? = null
    private val startedAt = context.clock()
    private var troubledAt = startedAt
    private var lookedAt = startedAt

    /** Begins with the rows that the instances share: they tell who else reads. */
    fun start() = followers.getValue(Feed.SHARED).look()

    /** Another instance has read a row of [feed] with a [version] that this one does not know. */
    fun behind(feed: Feed, version: Long) = followers.getValue(feed).behind(version)

    /** Decides at [now] whom to learn from. */
    fun tick(now: Long) {
        if (!isIntroduced(now)) return look(now, INTRODUCED_MILLISECONDS)
        resignIfTroubled(now)
        subscription?.takeIf { it.isSilent(now) }?.let { lost(it, troubledAgo = null) }
        val reader = choice.choose(readers(context), now) ?: self
        val reads = reader == self || !subscribers.isEmpty
        followers.values.forEach { if (reads) it.start() else it.stop() }
        if (subscription?.reader != reader) subscribe(reader)
        if (!reads && choice.hasRecentFailure(self, now)) look(now, LOOK_MILLISECONDS)
    }

    /** News is passed on wherever it came from: an instance that does not read may be asked by others for a moment. */
    override fun told(feed: Feed, page: FeedPage) {
        if (!context.state.merge(feed, page, context.clock())) return
        changed()
        subscribers.tell(feed, page)
    }

    override fun lost(subscription: Subscription, troubledAgo: Long?) {
        val now = context.clock()
        choice.recordFailure(subscription.reader, now)
        val wasOut = outage.isRecent(now)
        troubledAgo?.let { outage.recordResignation(subscription.reader, now - it) }
        if (outage.isRecent(now) && !wasOut) {
            context.log.belief("table", "state" to "out", "cause" to "several readers resigned")
        }
        val state = if (troubledAgo == null) "lost" else "resigned"
        context.log.belief(
            "reader",
            "instance" to subscription.reader,
            "state" to state,
            "troubledAgo" to troubledAgo
        )
        subscription.end()
        if (this.subscription === subscription) this.subscription = null
    }

    /** Whether this instance stands in the shared rows, so that others that start now are seen there as well. */
    private fun isIntroduced(now: Long): Boolean {
        val known = context.state.rows(Feed.SHARED).version != null
        return self in context.state.shared.members || (known && now - startedAt > ALONE_MILLISECONDS)
    }

    private fun look(now: Long, interval: Long) {
        if (now - lookedAt < interval) return
        lookedAt = now
        followers.values.forEach { it.look() }
    }

    /** An instance that can't read stays out until it has read again. */
    private fun resignIfTroubled(now: Long) {
        val since = followers.values.mapNotNull { it.troubledSince }.minOrNull() ?: now
        if (since < now) troubledAt = now
        if (now - since <= TROUBLED_MILLISECONDS) return
        val isNews = !choice.hasRecentFailure(self, now)
        choice.recordFailure(self, now)
        if (!isNews) return
        context.log.belief("reader", "instance" to self, "state" to "resigned")
        subscribers.resign()
    }

    /** How long ago this instance could not read; null when others may rely on it. */
    private fun troubledAgo(): Long? {
        val now = context.clock()
        return (now - troubledAt).takeIf { choice.hasRecentFailure(self, now) }
    }

    private fun subscribe(reader: InstanceName) {
        subscription?.end()
        subscription = null
        val member = context.state.shared.members[reader]?.takeIf { reader != self } ?: return
        context.log.belief("reader", "instance" to reader, "state" to "asked")
        subscription = Subscription(reader, context, transport, this).also { transport.connect(member.peers, it) }
    }

    private companion object {
        /** All instances of an installation start within a third of a second of each other. */
        const val INTRODUCED_MILLISECONDS = 600L

        /** An instance that can't write itself into the shared rows reads by itself after this time. */
        const val ALONE_MILLISECONDS = 3_000L

        /** A reader whose calls fail for so long lets another one read. */
        const val TROUBLED_MILLISECONDS = 700L

        /** An instance that could not read tries by itself this often, in case nobody else can either. */
        const val LOOK_MILLISECONDS = 1_500L
    }
}

/** All instances in the order in which they read for this one: those of its own domain first. */
private fun readers(context: ProcessContext): List<InstanceName> {
    val (near, far) = context.state.shared.members.values.partition { it.domain == context.settings.domain }
    return listOf(near, far).flatMap { members ->
        Rendezvous.order("reader", members) { it.instance.text }.map { it.instance }
    }
}
