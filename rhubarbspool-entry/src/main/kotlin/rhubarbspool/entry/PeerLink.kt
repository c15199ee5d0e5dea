/*
 * This instance's own connection to one other instance: questions out, decisions in. Questions that are still open
 * when the connection is given up are handed back, so that they can be asked elsewhere.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Hears of one link. */
internal interface LinkEvents {
    /** The other side of [link] was heard from, with its [news] if it told any. */
    fun heard(link: PeerLink, news: NewsMessage?)

    /** The connection of [link] ended. */
    fun lost(link: PeerLink)
}

/** Questions of the instance called [hello] to [member]. */
internal class PeerLink(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    val member: Member,
    private val hello: String,
    private val events: LinkEvents,
) : PeerListener {
    private var channel: Channel? = null
    private var connecting = false
    private var connectingAt = 0L
    private val unsent = ArrayList<PeerMessage>()
    private val open = HashMap<Long, (DecisionMessage) -> Unit>()
    private var askedAt = 0L
    private var heardAt = 0L
    private var newsAt = 0L
    private var usedAt = 0L

    /** Sends [ask]; [decided] hears every decision about it. */
    fun ask(ask: AskMessage, now: Long, decided: (DecisionMessage) -> Unit) {
        if (open.isEmpty()) askedAt = now
        open[ask.id] = decided
        send(PeerMessage(ask = ask), now)
    }

    /** Sends [message], which ends the question [ended] if one is given. */
    fun tell(message: PeerMessage, now: Long, ended: Long? = null) {
        ended?.let(open::remove)
        send(message, now)
    }

    /** Watches for silence at [now]; true when the other side is given up. */
    fun isSilent(now: Long): Boolean {
        if (open.isEmpty()) return false
        val since = maxOf(askedAt, heardAt)
        if (now - since > PING_MILLISECONDS) channel?.let { transport.send(it, PeerMessage(ping = true)) }
        return now - since > SILENCE_MILLISECONDS
    }

    /** Whether nothing was sent for so long at [now] that the connection may be closed. */
    fun isUnused(now: Long): Boolean = open.isEmpty() && now - usedAt > UNUSED_MILLISECONDS

    /** Closes the connection and hands open questions back. */
    fun giveUp() {
        channel?.close()
        ended(SILENT)
    }

    override fun opened(channel: Channel) {
        this.channel = channel
        connecting = false
        transport.send(channel, PeerMessage(hello = hello))
        unsent.forEach { transport.send(channel, it) }
        unsent.clear()
    }

    override fun received(message: PeerMessage) {
        heardAt = context.clock()
        events.heard(this, message.news)
        message.decision?.let { open[it.id]?.invoke(it) }
    }

    override fun closed() {
        val unanswered = connecting && context.clock() - connectingAt >= PeerTransport.CONNECT_MILLISECONDS
        ended(if (unanswered) SILENT else LOST)
    }

    private fun ended(how: DecisionMessage) {
        channel = null
        connecting = false
        unsent.clear()
        val handedBack = open.values.toList()
        open.clear()
        events.lost(this)
        handedBack.forEach { it(how) }
    }

    private fun send(message: PeerMessage, now: Long) {
        usedAt = now
        val tellsNews = now - newsAt >= NEWS_MILLISECONDS
        if (tellsNews) newsAt = now
        val complete = if (tellsNews) message.copy(news = context.state.news()) else message
        val current = channel
        if (current != null) {
            transport.send(current, complete)
        } else {
            unsent += complete
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
        private const val SILENCE_MILLISECONDS = 450L

        /** Versions of feeds are told this often. */
        private const val NEWS_MILLISECONDS = 200L
        private const val UNUSED_MILLISECONDS = 20_000L
    }
}
