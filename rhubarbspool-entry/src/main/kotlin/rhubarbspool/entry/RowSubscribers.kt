/*
 * The instances that are subscribed to the platform's rows at this one. A row replaces the earlier one of its key, so a
 * subscriber whose connection is full gets what has changed once it can take more: rows never queue up behind rows that
 * they replace. Configurations go before other rows.
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
    /** The table's versions up to which a subscriber was sent the rows of each feed. */
    private class Subscriber(val acceptsPacked: Boolean, val sent: HashMap<Feed, Long>)

    private val subscribers = LinkedHashMap<Channel, Subscriber>()

    /** Whether there are no subscribers. */
    val isEmpty: Boolean get() = subscribers.isEmpty()

    /** Adds [channel] and sends it all rows that are newer than those in [message]. */
    fun add(channel: Channel, message: SubscribeMessage) {
        val known = Feed.entries.associateWithTo(HashMap()) { message.known.of(it) }
        subscribers[channel] = Subscriber(message.acceptsPacked, known)
        onWritable(channel)
        sinceFailureMilliseconds()?.let { transport.send(channel, resignation(it)) }
    }

    /** Removes [channel] if it is subscribed. */
    fun remove(channel: Channel) {
        subscribers -= channel
    }

    /** Sends [page] of [feed] to the subscribers that know all rows before it and can take it. */
    fun publish(feed: Feed, page: FeedPage) {
        val version = context.state.rows(feed).version ?: return
        val previous = page.previousVersion ?: return
        val message = RowMessageEncoder(RowsMessage(feed, page))
        subscribers.forEach { (channel, subscriber) ->
            val isCurrent = subscriber.sent.getValue(feed) >= previous
            if (isCurrent && channel.isWritable) {
                transport.sendEncoded(channel, message.encode(subscriber.acceptsPacked))
                subscriber.sent[feed] = version
            } else {
                onWritable(channel)
            }
        }
    }

    /** Sends the rows that the subscriber over [channel], if there is one, was not sent yet and can take. */
    fun onWritable(channel: Channel) {
        val subscriber = subscribers[channel] ?: return
        Feed.entries.forEach { feed ->
            val rows = context.state.rows(feed)
            val changes = rows.changesAfter(subscriber.sent.getValue(feed), context.clock())
            if (changes != null && channel.isWritable) {
                val message = RowMessageEncoder(RowsMessage(feed, changes))
                transport.sendEncoded(channel, message.encode(subscriber.acceptsPacked))
                subscriber.sent[feed] = changes.version
            }
        }
    }

    /** Tells subscribers that this instance can't read the table. */
    fun resign() = subscribers.keys.forEach { transport.send(it, resignation(0)) }

    private fun resignation(ago: Long) = PeerMessage(rows = RowsMessage(resigns = true, sinceFailureMilliseconds = ago))
}
