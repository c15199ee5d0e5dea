/*
 * Connection to the instance that reads the platform's table for this one.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.model.InstanceName

/** Callbacks of a subscription. */
internal interface SubscriptionEvents {
    /** [page] of [feed] arrived. */
    fun onRows(feed: Feed, page: FeedPage)

    /**
     * The reader of [subscription] can't be reached, or resigned because it could not read the table
     * [sinceFailureMilliseconds] ago.
     */
    fun onReaderLost(subscription: Subscription, sinceFailureMilliseconds: Long?)
}

/** Subscription to the rows that the instance [member] reads from the table. */
internal class Subscription(
    private val member: Member,
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val events: SubscriptionEvents,
) : PeerListener {
    /** The name of the reader. */
    val reader: InstanceName get() = member.instance

    /** Whether the reader has responded. */
    var isEstablished = false
        private set
    private var channel: Channel? = null
    private var lastReceivedAt = context.clock()
    private var lastPingAt = lastReceivedAt
    private var isCancelled = false

    /** Sends a ping if one is due at [now]; returns whether nothing was received for too long, and records the loss. */
    fun isTimedOut(now: Long): Boolean {
        if (now - lastPingAt > PING_MILLISECONDS) {
            lastPingAt = now
            channel?.let { transport.send(it, PeerMessage(ping = true)) }
        }
        val timedOut = now - lastReceivedAt > RECEIVE_TIMEOUT_MILLISECONDS
        if (timedOut) context.recordLoss(member, silent = true)
        return timedOut
    }

    /** Ends the subscription and closes its connection. */
    fun cancel() {
        isCancelled = true
        channel?.close()
    }

    override fun onOpened(channel: Channel) {
        this.channel = channel
        if (isCancelled) {
            channel.close()
        } else {
            val known = SubscribeMessage(context.state.feedVersions(), acceptsPacked = true)
            transport.send(channel, PeerMessage(hello = "${context.settings.instance}", subscribe = known, ping = true))
        }
    }

    override fun onReceived(message: PeerMessage) {
        lastReceivedAt = context.clock()
        isEstablished = true
        context.recordContact(member, message.news)
        val rows = message.rows ?: message.packedRows?.unpack()
        when {
            rows == null || isCancelled -> Unit
            rows.resigns -> events.onReaderLost(this, rows.sinceFailureMilliseconds)
            rows.feed != null && rows.page != null -> events.onRows(rows.feed, rows.page)
        }
    }

    override fun onDisconnected() {
        if (isCancelled) return
        context.recordLoss(member, silent = false)
        events.onReaderLost(this, sinceFailureMilliseconds = null)
    }

    private companion object {
        const val PING_MILLISECONDS = 350L

        /** Three unanswered pings; well below the two seconds within which a configuration must be in force. */
        const val RECEIVE_TIMEOUT_MILLISECONDS = 1_100L
    }
}
