/*
 * The instances that learn the platform's rows from this one.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/**
 * Sends rows to subscribed instances. [sinceFailureMilliseconds] returns the time since this instance last failed to
 * read the table, or null while it reads reliably.
 */
internal class RowSubscribers(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val sinceFailureMilliseconds: () -> Long?,
) {
    private val channels = HashSet<Channel>()

    /** Whether anybody learns from here. */
    val isEmpty: Boolean get() = channels.isEmpty()

    /** Takes in [channel] and tells it what is news to it. */
    fun add(channel: Channel, message: SubscribeMessage) {
        channels += channel
        Feed.entries.forEach { feed ->
            val changes = context.state.rows(feed).changesAfter(message.known.of(feed), context.clock())
            changes?.let { transport.send(channel, PeerMessage(rows = RowsMessage(feed, it))) }
        }
        sinceFailureMilliseconds()?.let { transport.send(channel, resignation(it)) }
    }

    /** Forgets [channel]. */
    fun remove(channel: Channel) {
        channels -= channel
    }

    /** Passes [page] of [feed] on. */
    fun publish(feed: Feed, page: FeedPage) = channels.forEach {
        transport.send(it, PeerMessage(rows = RowsMessage(feed, page)))
    }

    /** Says that this instance can't read the table. */
    fun resign() = channels.forEach { transport.send(it, resignation(0)) }

    private fun resignation(ago: Long) = PeerMessage(rows = RowsMessage(resigns = true, sinceFailureMilliseconds = ago))
}
