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

/** Chooses between reading and being told, and passes on what is read; [onChanged] hears of news. */
internal class RowSource(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    table: PlatformTable,
    private val onChanged: () -> Unit,
) : SubscriptionEvents {
    private val self = context.settings.instance
    private val outage = TableOutage()
    private val followers = Feed.entries.associateWith { FeedFollower(it, table, context, outage, ::onRows) }
    private val choice = ReaderChoice()

    /** Instances that learn from this one. */
    val subscribers = RowSubscribers(context, transport, ::sinceFailureMilliseconds)
    private var subscription: Subscription? = null
    private val startedAt = context.clock()
    private var lastFailureAt = startedAt
    private var lastReadAt = startedAt

    /** Begins with the rows that the instances share: they tell who else reads. */
    fun start() = followers.getValue(Feed.SHARED).readOnce()

    /** Another instance has read a row of [feed] with a [version] that this one does not know. */
    fun onNewerVersion(feed: Feed, version: Long) = followers.getValue(feed).onNewerVersion(version)

    /** Decides at [now] whom to learn from. */
    fun tick(now: Long) {
        if (!isRegistered(now)) return readOnce(now, UNREGISTERED_READ_MILLISECONDS)
        resignIfFailing(now)
        subscription?.takeIf { it.isTimedOut(now) }?.let { onReaderLost(it, sinceFailureMilliseconds = null) }
        val reader = choice.choose(readers(context), now) ?: self
        val reads = reader == self || !subscribers.isEmpty
        followers.values.forEach { if (reads) it.start() else it.stop() }
        if (subscription?.reader != reader) subscribe(reader)
        if (!reads && choice.hasRecentFailure(self, now)) readOnce(now, RETRY_READ_MILLISECONDS)
    }

    /** News is passed on wherever it came from: an instance that does not read may be asked by others for a moment. */
    override fun onRows(feed: Feed, page: FeedPage) {
        if (!context.state.merge(feed, page, context.clock())) return
        onChanged()
        subscribers.publish(feed, page)
    }

    override fun onReaderLost(subscription: Subscription, sinceFailureMilliseconds: Long?) {
        val now = context.clock()
        choice.recordFailure(subscription.reader, now)
        val wasOutage = outage.isRecent(now)
        sinceFailureMilliseconds?.let { outage.recordResignation(subscription.reader, now - it) }
        if (outage.isRecent(now) && !wasOutage) {
            context.log.belief("table", "state" to "out", "cause" to "several readers resigned")
        }
        val state = if (sinceFailureMilliseconds == null) "lost" else "resigned"
        context.log.belief(
            "reader",
            "instance" to subscription.reader,
            "state" to state,
            "troubledAgo" to sinceFailureMilliseconds
        )
        subscription.cancel()
        if (this.subscription === subscription) this.subscription = null
    }

    /** Whether this instance stands in the shared rows, so that others that start now are seen there as well. */
    private fun isRegistered(now: Long): Boolean {
        val known = context.state.rows(Feed.SHARED).version != null
        return self in context.state.shared.members || (known && now - startedAt > REGISTRATION_MILLISECONDS)
    }

    private fun readOnce(now: Long, interval: Long) {
        if (now - lastReadAt < interval) return
        lastReadAt = now
        followers.values.forEach { it.readOnce() }
    }

    /** An instance that can't read stays out until it has read again. */
    private fun resignIfFailing(now: Long) {
        val since = followers.values.mapNotNull { it.staleSince }.minOrNull() ?: now
        if (since < now) lastFailureAt = now
        if (now - since <= RESIGNATION_MILLISECONDS) return
        val isNew = !choice.hasRecentFailure(self, now)
        choice.recordFailure(self, now)
        if (!isNew) return
        context.log.belief("reader", "instance" to self, "state" to "resigned")
        subscribers.resign()
    }

    /** How long ago this instance could not read; null when others may rely on it. */
    private fun sinceFailureMilliseconds(): Long? {
        val now = context.clock()
        return (now - lastFailureAt).takeIf { choice.hasRecentFailure(self, now) }
    }

    private fun subscribe(reader: InstanceName) {
        subscription?.cancel()
        subscription = null
        val member = context.state.shared.members[reader]?.takeIf { reader != self } ?: return
        context.log.belief("reader", "instance" to reader, "state" to "asked")
        subscription = Subscription(reader, context, transport, this).also { transport.connect(member.peers, it) }
    }

    private companion object {
        /** All instances of an installation start within a third of a second of each other. */
        const val UNREGISTERED_READ_MILLISECONDS = 600L

        /** An instance that can't write itself into the shared rows reads by itself after this time. */
        const val REGISTRATION_MILLISECONDS = 3_000L

        /** A reader whose calls fail for so long lets another one read. */
        const val RESIGNATION_MILLISECONDS = 700L

        /** An instance that could not read tries by itself this often, in case nobody else can either. */
        const val RETRY_READ_MILLISECONDS = 1_500L
    }
}

/** All instances in the order in which they read for this one: those of its own domain first. */
private fun readers(context: ProcessContext): List<InstanceName> {
    val (sameDomain, otherDomains) =
        context.state.shared.members.values.partition { it.domain == context.settings.domain }
    return listOf(sameDomain, otherDomains).flatMap { members ->
        Rendezvous.order("reader", members) { it.instance.text }.map { it.instance }
    }
}
