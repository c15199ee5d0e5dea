/*
 * The instances that are subscribed to the platform's rows at this one.
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

    /** Whether there are no subscribers. */
    val isEmpty: Boolean get() = channels.isEmpty()

    /** Adds [channel] and sends it all rows that are newer than those in [message]. */
    fun add(channel: Channel, message: SubscribeMessage) {
        channels += channel
        Feed.entries.forEach { feed ->
            val changes = context.state.rows(feed).changesAfter(message.known.of(feed), context.clock())
            changes?.let { transport.send(channel, PeerMessage(rows = RowsMessage(feed, it))) }
        }
        sinceFailureMilliseconds()?.let { transport.send(channel, resignation(it)) }
    }

    /** Removes [channel] if it is subscribed. */
    fun remove(channel: Channel) {
        channels -= channel
    }

    /** Sends [page] of [feed] to all subscribers. */
    fun publish(feed: Feed, page: FeedPage) = channels.forEach {
        transport.send(it, PeerMessage(rows = RowsMessage(feed, page)))
    }

    /** Tells subscribers that this instance can't read the table. */
    fun resign() = channels.forEach { transport.send(it, resignation(0)) }

    private fun resignation(ago: Long) = PeerMessage(rows = RowsMessage(resigns = true, sinceFailureMilliseconds = ago))
}
