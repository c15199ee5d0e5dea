/*
 * This instance's own connection to one other instance: questions out, decisions in. Questions that are still open
 * when the connection is given up are handed back, so that they can be asked elsewhere.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Hears of one link. */
internal interface LinkEvents {
    /** The other side of [link] was heard from, with its [versions] if it told any. */
    fun onMessage(link: PeerLink, versions: FeedVersions?)

    /** The connection of [link] ended. */
    fun onClosed(link: PeerLink)
}

/** Questions of the instance called [askerName] to [member]. */
internal class PeerLink(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    val member: Member,
    private val askerName: String,
    private val events: LinkEvents,
) : PeerListener {
    private var channel: Channel? = null
    private var connecting = false
    private var connectingAt = 0L
    private val unsent = ArrayList<PeerMessage>()
    private val open = HashMap<Long, (DecisionMessage) -> Unit>()
    private var pendingSince = 0L
    private var lastReceivedAt = 0L
    private var versionsSentAt = 0L
    private var lastSentAt = 0L

    /** Sends [request]; [onDecision] hears every decision about it. */
    fun requestSlot(request: SlotRequestMessage, now: Long, onDecision: (DecisionMessage) -> Unit) {
        if (open.isEmpty()) pendingSince = now
        open[request.id] = onDecision
        send(PeerMessage(ask = request), now)
    }

    /** Sends [message], which ends the question [ended] if one is given. */
    fun sendMessage(message: PeerMessage, now: Long, ended: Long? = null) {
        ended?.let(open::remove)
        send(message, now)
    }

    /** Watches for silence at [now]; true when the other side is given up. */
    fun isTimedOut(now: Long): Boolean {
        if (open.isEmpty()) return false
        val since = maxOf(pendingSince, lastReceivedAt)
        if (now - since > PING_MILLISECONDS) channel?.let { transport.send(it, PeerMessage(ping = true)) }
        return now - since > RECEIVE_TIMEOUT_MILLISECONDS
    }

    /** Whether nothing was sent for so long at [now] that the connection may be closed. */
    fun isIdle(now: Long): Boolean = open.isEmpty() && now - lastSentAt > IDLE_MILLISECONDS

    /** Closes the connection and hands open questions back. */
    fun abandon() {
        channel?.close()
        end(SILENT)
    }

    override fun onOpened(channel: Channel) {
        this.channel = channel
        connecting = false
        transport.send(channel, PeerMessage(hello = askerName))
        unsent.forEach { transport.send(channel, it) }
        unsent.clear()
    }

    override fun onReceived(message: PeerMessage) {
        lastReceivedAt = context.clock()
        events.onMessage(this, message.news)
        message.decision?.let { open[it.id]?.invoke(it) }
    }

    override fun onDisconnected() {
        val timedOut = connecting && context.clock() - connectingAt >= PeerTransport.CONNECT_MILLISECONDS
        end(if (timedOut) SILENT else LOST)
    }

    private fun end(result: DecisionMessage) {
        channel = null
        connecting = false
        unsent.clear()
        val callbacks = open.values.toList()
        open.clear()
        events.onClosed(this)
        callbacks.forEach { it(result) }
    }

    private fun send(message: PeerMessage, now: Long) {
        lastSentAt = now
        val sendsVersions = now - versionsSentAt >= VERSIONS_MILLISECONDS
        if (sendsVersions) versionsSentAt = now
        val sent = if (sendsVersions) message.copy(news = context.state.feedVersions()) else message
        val current = channel
        if (current != null) {
            transport.send(current, sent)
        } else {
            unsent += sent
            if (!connecting) {
                connecting = true
                connectingAt = now
                transport.connect(member.peers, this)
            }
        }
    }

    companion object {
        /** The decision that stands for a connection that was closed. */
        val LOST = DecisionMessage(-1)

        /** The decision that stands for a connection on which nothing comes. */
        val SILENT = DecisionMessage(-2)

        /** An answer takes a few milliseconds; this much silence calls for a sign of life. */
        private const val PING_MILLISECONDS = 150L

        /** No sign of life for so long, with two pings sent, means that the other side is lost or suspended. */
        private const val RECEIVE_TIMEOUT_MILLISECONDS = 450L

        /** Versions of feeds are told this often. */
        private const val VERSIONS_MILLISECONDS = 200L
        private const val IDLE_MILLISECONDS = 20_000L
    }
}
