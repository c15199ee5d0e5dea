/*
 * The instances that learn the platform's rows from this one.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Passes rows on; [troubledAgo] says how long ago this instance could not read, null while it may be relied on. */
internal class RowSubscribers(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val troubledAgo: () -> Long?,
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
        troubledAgo()?.let { transport.send(channel, resignation(it)) }
    }

    /** Forgets [channel]. */
    fun remove(channel: Channel) {
        channels -= channel
    }

    /** Passes [page] of [feed] on. */
    fun tell(feed: Feed, page: FeedPage) = channels.forEach {
        transport.send(it, PeerMessage(rows = RowsMessage(feed, page)))
    }

    /** Says that this instance can't read the table. */
    fun resign() = channels.forEach { transport.send(it, resignation(0)) }

    private fun resignation(ago: Long) = PeerMessage(rows = RowsMessage(resigns = true, troubledAgo = ago))
}
