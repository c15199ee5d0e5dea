/*
 * This instance's connection to the one that reads the platform's table for it.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.model.InstanceName

/** Hears of one subscription. */
internal interface SubscriptionEvents {
    /** [page] of [feed] was told. */
    fun told(feed: Feed, page: FeedPage)

    /**
     * The reader of [subscription] can't be reached, or has resigned because it could not read [troubledAgo]
     * milliseconds before.
     */
    fun lost(subscription: Subscription, troubledAgo: Long?)
}

/** News that [reader] passes on, from when it was asked. */
internal class Subscription(
    val reader: InstanceName,
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val events: SubscriptionEvents,
) : PeerListener {
    private var channel: Channel? = null
    private var heardAt = context.clock()
    private var pingedAt = heardAt
    private var ended = false

    /** Asks for signs of life at [now]; true when there have been none for too long. */
    fun isSilent(now: Long): Boolean {
        if (now - pingedAt > PING_MILLISECONDS) {
            pingedAt = now
            channel?.let { transport.send(it, PeerMessage(ping = true)) }
        }
        return now - heardAt > SILENCE_MILLISECONDS
    }

    /** Closes the connection. */
    fun end() {
        ended = true
        channel?.close()
    }

    override fun opened(channel: Channel) {
        this.channel = channel
        if (ended) {
            channel.close()
        } else {
            val known = SubscribeMessage(context.state.news())
            transport.send(channel, PeerMessage(hello = "${context.settings.instance}", subscribe = known))
        }
    }

    override fun received(message: PeerMessage) {
        heardAt = context.clock()
        val rows = message.rows
        when {
            rows == null || ended -> Unit
            rows.resigns -> events.lost(this, rows.troubledAgo)
            rows.feed != null && rows.page != null -> events.told(rows.feed, rows.page)
        }
    }

    override fun closed() {
        if (!ended) events.lost(this, troubledAgo = null)
    }

    private companion object {
        const val PING_MILLISECONDS = 350L

        /** Three unanswered signs of life; far below the two seconds in which a configuration must be in force. */
        const val SILENCE_MILLISECONDS = 1_100L
    }
}
