/*
 * Decides from where this instance gets the rows of the platform's table. One instance in each failure domain reads
 * the table and sends the rows to the others, which read the table themselves only while they have no reader. A reader
 * that can't read the table resigns, and its subscribers subscribe to the next instance in rendezvous order.
 */
package rhubarbspool.entry

import rhubarbspool.model.InstanceName
import rhubarbspool.placement.ReaderChoice
import rhubarbspool.placement.TableOutage

/**
 * Reads the table or subscribes to another instance, and sends new rows to subscribers; calls [onChanged] after rows
 * changed.
 */
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

    /** Instances that are subscribed to this one. */
    val subscribers = RowSubscribers(context, transport, ::sinceFailureMilliseconds)
    private var subscription: Subscription? = null
    private val startedAt = context.clock()
    private var lastFailureAt = startedAt
    private var lastReadAt = startedAt
    private var hadReaderAt = startedAt

    /** Reads the shared rows first: they list the instances that may be the reader. */
    fun start() = followers.getValue(Feed.SHARED).readOnce()

    /** Whether another instance has newer configurations than this one. */
    val isConfigurationBehind: Boolean get() = followers.getValue(Feed.OPERATOR).isBehind

    /** Another instance has read a row of [feed] whose [version] is newer than all rows of this one. */
    fun onNewerVersion(feed: Feed, version: Long) = followers.getValue(feed).onNewerVersion(version)

    /** Chooses the reader at [now], and starts or stops reading the table accordingly. */
    fun tick(now: Long) {
        if (!isRegistered(now)) return readOnce(now, UNREGISTERED_READ_MILLISECONDS, listOf(Feed.SHARED))
        resignIfFailing(now)
        followers.values.forEach { it.catchUp(now) }
        subscription?.takeIf { it.isTimedOut(now) }?.let { onReaderLost(it, sinceFailureMilliseconds = null) }
        val reader = choice.choose(readers(context), now) ?: self
        if (subscription?.isEstablished == true) hadReaderAt = now
        val reads = reader == self || !subscribers.isEmpty || now - hadReaderAt > READERLESS_MILLISECONDS
        followers.values.forEach { if (reads) it.start() else it.stop() }
        if (subscription?.reader != reader) subscribe(reader)
        if (!reads && choice.hasRecentFailure(self, now)) readOnce(now, RETRY_READ_MILLISECONDS)
    }

    /**
     * Publishes new rows from any source: for a moment, other instances may be subscribed to one that does not read
     * the table.
     */
    override fun onRows(feed: Feed, page: FeedPage) {
        val news = context.state.merge(feed, page, context.clock()) ?: return
        onChanged()
        subscribers.publish(feed, news)
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

    /**
     * Whether this instance is listed in the shared rows, so that others that start at the same time are listed too.
     * True also when it could not register within [REGISTRATION_MILLISECONDS].
     */
    private fun isRegistered(now: Long): Boolean {
        val known = context.state.rows(Feed.SHARED).version != null
        return self in context.state.shared.members || (known && now - startedAt > REGISTRATION_MILLISECONDS)
    }

    private fun readOnce(now: Long, interval: Long, feeds: Collection<Feed> = Feed.entries) {
        if (now - lastReadAt < interval) return
        lastReadAt = now
        feeds.forEach { followers.getValue(it).readOnce() }
    }

    /** An instance that can't read the table resigns as reader until it has read the table again. */
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

    /** Time since this instance last failed to read the table; null when it is available as a reader. */
    private fun sinceFailureMilliseconds(): Long? {
        val now = context.clock()
        return (now - lastFailureAt).takeIf { choice.hasRecentFailure(self, now) }
    }

    private fun subscribe(reader: InstanceName) {
        subscription?.cancel()
        subscription = null
        val member = context.state.shared.members[reader]?.takeIf { reader != self } ?: return
        context.log.belief("reader", "instance" to reader, "state" to "asked")
        subscription = Subscription(member, context, transport, this).also { transport.connect(member.peers, it) }
    }

    private companion object {
        /**
         * Interval of reads before registration. All instances of an installation start within a third of a second of
         * each other.
         */
        const val UNREGISTERED_READ_MILLISECONDS = 600L

        /** An instance that can't register in the shared rows reads the table without registration after this time. */
        const val REGISTRATION_MILLISECONDS = 3_000L

        /** Time without a reader after which this instance reads the table, however many it has yet to try. */
        const val READERLESS_MILLISECONDS = 400L

        /** A reader whose calls have failed for this long resigns. */
        const val RESIGNATION_MILLISECONDS = 700L

        /** Interval at which a resigned instance reads the table, in case no other instance can read it either. */
        const val RETRY_READ_MILLISECONDS = 1_500L
    }
}

/** Instances that can be reached in order of preference as reader for this one: those of its own domain first. */
private fun readers(context: ProcessContext): List<InstanceName> {
    val (sameDomain, otherDomains) = context.duties.order("reader").partition { it.domain == context.settings.domain }
    return (sameDomain + otherDomains).map { it.instance }.filterNot(context.reachability::isAvoided)
}
