/*
 * Where this instance learns the platform's rows from. One instance in each failure domain reads the table and passes
 * rows on; the others read for themselves only when no instance can be reached that does. An instance that can't read
 * says so, and the next in line is asked.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.model.InstanceName
import rhubarbspool.placement.ReaderChoice
import rhubarbspool.placement.Rendezvous

/** Chooses between reading and being told, and passes on what is read. */
internal class RowSource(
    private val settings: EntrySettings,
    private val state: EntryState,
    private val followers: Map<Feed, FeedFollower>,
    private val transport: PeerTransport,
    private val log: DecisionLog,
    private val clock: () -> Long,
    private val changed: () -> Unit,
) {
    private val choice = ReaderChoice()
    private val subscribers = HashSet<Channel>()
    private var subscription: Subscription? = null
    private var lookedAt = 0L

    /** Whether this instance reads the table. */
    val isReader: Boolean get() = followers.values.any { it.isActive }

    private val startedAt = clock()

    /** Begins with the rows that the instances share: they tell who else reads. */
    fun start() = followers.getValue(Feed.SHARED).look()

    /** Takes in what a follower read, and passes it on. */
    fun read(feed: Feed, page: FeedPage) {
        state.merge(feed, page, clock())
        if (page.rows.isEmpty()) return
        changed()
        subscribers.forEach { transport.send(it, PeerMessage(rows = RowsMessage(feed, page))) }
    }

    /** Another instance asks over [channel] for all news. */
    fun subscribed(channel: Channel, message: SubscribeMessage) {
        subscribers += channel
        Feed.entries.forEach { feed ->
            val page = state.snapshot(feed)
            val known = message.known.of(feed)
            if (page != null && page.version > known) {
                val news = if (known == 0L) page else page.copy(rows = page.rows.filter { it.version > known }, complete = false)
                transport.send(channel, PeerMessage(rows = RowsMessage(feed, news)))
            }
        }
        if (isTroubled(clock())) transport.send(channel, PeerMessage(rows = RowsMessage(resigns = true)))
    }

    /** The connection [channel] of another instance ended. */
    fun closed(channel: Channel) {
        subscribers -= channel
    }

    /** Decides at [now] whom to learn from. */
    fun tick(now: Long) {
        if (!isIntroduced(now)) return introduce(now)
        if (isTroubled(now)) resign(now)
        val reader = choice.choose(ranked(), now) ?: settings.instance
        val reads = reader == settings.instance || subscribers.isNotEmpty()
        followers.values.forEach { if (reads) it.start() else it.stop() }
        subscription?.takeIf { it.reader != reader || it.isSilent(now) }?.end()
        if (reader != settings.instance && subscription == null) subscribe(reader, now)
        if (!reads && choice.isPassedOver(settings.instance, now) && now - lookedAt > LOOK_MILLISECONDS) {
            lookedAt = now
            followers.values.forEach { it.look() }
        }
    }

    /** Whether this instance stands in the shared rows, so that others that start now are seen there as well. */
    private fun isIntroduced(now: Long): Boolean =
        settings.instance in state.members || (state.versions[Feed.SHARED] != null && now - startedAt > ALONE_MILLISECONDS)

    private fun introduce(now: Long) {
        if (now - lookedAt < INTRODUCED_MILLISECONDS) return
        lookedAt = now
        followers.getValue(Feed.SHARED).look()
    }

    private fun ranked(): List<InstanceName> {
        val (near, far) = state.members.values.partition { it.domain == settings.domain }
        return listOf(near, far).flatMap { members ->
            Rendezvous.order(SUBJECT, members) { it.instance.text }.map { it.instance }
        }
    }

    private fun isTroubled(now: Long): Boolean =
        followers.values.any { follower -> follower.troubledSince?.let { now - it > TROUBLED_MILLISECONDS } ?: false }

    private fun resign(now: Long) {
        if (choice.isPassedOver(settings.instance, now)) return
        choice.passOver(settings.instance, now)
        log.belief("reader", "instance" to settings.instance, "state" to "resigned")
        subscribers.forEach { transport.send(it, PeerMessage(rows = RowsMessage(resigns = true))) }
    }

    private fun subscribe(reader: InstanceName, now: Long) {
        val member = state.members[reader] ?: return
        log.belief("reader", "instance" to reader, "state" to "asked")
        subscription = Subscription(reader, now).also { transport.connect(member.peers, it) }
    }

    private inner class Subscription(val reader: InstanceName, startedAt: Long) : PeerListener {
        private var channel: Channel? = null
        private var heardAt = startedAt
        private var pingedAt = startedAt
        private var ended = false

        fun isSilent(now: Long): Boolean {
            if (now - pingedAt > PING_MILLISECONDS) {
                pingedAt = now
                channel?.let { transport.send(it, PeerMessage(ping = true)) }
            }
            if (now - heardAt > SILENCE_MILLISECONDS) choice.passOver(reader, now)
            return now - heardAt > SILENCE_MILLISECONDS
        }

        fun end() {
            ended = true
            channel?.close()
            if (subscription === this) subscription = null
        }

        override fun opened(channel: Channel) {
            this.channel = channel
            if (ended) {
                channel.close()
                return
            }
            transport.send(channel, PeerMessage(hello = "${settings.instance}", subscribe = SubscribeMessage(state.news())))
        }

        override fun received(message: PeerMessage) {
            heardAt = clock()
            val rows = message.rows ?: return
            if (rows.resigns) {
                choice.passOver(reader, heardAt)
                state.directory.troubled(heardAt)
                return end()
            }
            val feed = rows.feed ?: return
            val page = rows.page ?: return
            state.merge(feed, page, heardAt)
            changed()
        }

        override fun closed() {
            if (ended) return
            choice.passOver(reader, clock())
            end()
        }
    }

    private companion object {
        const val SUBJECT = "reader"
        const val PING_MILLISECONDS = 350L

        /** All instances of an installation start within a third of a second of each other. */
        const val INTRODUCED_MILLISECONDS = 600L

        /** An instance that can't write itself into the shared rows reads by itself after this time. */
        const val ALONE_MILLISECONDS = 3_000L

        /** Three unanswered signs of life; far below the two seconds in which a configuration must be in force. */
        const val SILENCE_MILLISECONDS = 1_100L

        /** A reader whose calls fail for so long lets another one read. */
        const val TROUBLED_MILLISECONDS = 500L

        /** An instance that could not read tries by itself this often, in case nobody else can either. */
        const val LOOK_MILLISECONDS = 1_500L
    }
}
