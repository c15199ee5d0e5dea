/*
 * Outgoing connection to one other instance, which carries slot requests and their decisions. Slot requests that
 * have not ended when the connection is lost get the decision [PeerLink.LOST] or [PeerLink.SILENT], so that they can
 * be sent to another instance.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Callbacks of a link. */
internal interface LinkEvents {
    /** A message of the other side of [link] arrived, with its feed [versions] if it contained any. */
    fun onMessage(link: PeerLink, versions: FeedVersions?)

    /** The connection of [link] ended. */
    fun onClosed(link: PeerLink)
}

/** Sends slot requests to [member]; this process identifies itself as [askerName]. */
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
    private var unansweredSince: Long? = null
    private var versionsSentAt = 0L
    private var lastSentAt = 0L

    /** Sends [request]; calls [onDecision] with every decision about it. */
    fun requestSlot(request: SlotRequestMessage, now: Long, onDecision: (DecisionMessage) -> Unit) {
        if (open.isEmpty()) pendingSince = now
        open[request.id] = onDecision
        send(PeerMessage(ask = request), now)
    }

    /** Sends [message], which ends the slot request with the id [ended], if given. */
    fun sendMessage(message: PeerMessage, now: Long, ended: Long? = null) {
        ended?.let(open::remove)
        send(message, now)
    }

    /** Whether slot requests are pending. */
    val hasOpenRequests: Boolean get() = open.isNotEmpty()

    /** Sends a ping if one is due at [now]; returns whether nothing was received for too long. */
    fun isTimedOut(now: Long): Boolean {
        if (open.isEmpty()) return unansweredSince?.let { now - it > UNUSED_TIMEOUT_MILLISECONDS } ?: false
        val since = maxOf(pendingSince, lastReceivedAt)
        if (now - since > PING_MILLISECONDS) channel?.let { transport.send(it, PeerMessage(ping = true)) }
        return now - since > RECEIVE_TIMEOUT_MILLISECONDS
    }

    /** Whether the connection may be closed at [now], since it has not been used for long. */
    fun isIdle(now: Long): Boolean = open.isEmpty() && now - lastSentAt > IDLE_MILLISECONDS

    /** Closes the connection and ends its slot requests with [SILENT]. */
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
        unansweredSince = null
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
        unansweredSince = null
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
        if (sent.ping || sent.news != null) unansweredSince = unansweredSince ?: now
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
        /** Decision of slot requests whose connection was closed. */
        val LOST = DecisionMessage(-1)

        /** Decision of slot requests whose connection timed out. */
        val SILENT = DecisionMessage(-2)

        /** A response takes a few milliseconds; a ping is sent after this time without any message. */
        private const val PING_MILLISECONDS = 150L

        /** After this time without any message, and two pings, the other side counts as lost or suspended. */
        private const val RECEIVE_TIMEOUT_MILLISECONDS = 450L

        /** The same for a connection without slot requests, over which feed versions are exchanged. */
        private const val UNUSED_TIMEOUT_MILLISECONDS = 1_000L

        /** Minimum interval between two messages that contain feed versions. */
        private const val VERSIONS_MILLISECONDS = 200L
        private const val IDLE_MILLISECONDS = 20_000L
    }
}
