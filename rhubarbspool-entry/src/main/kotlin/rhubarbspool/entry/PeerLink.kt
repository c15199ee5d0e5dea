/*
 * This instance's own connection to one other instance: questions out, decisions in. Questions that are still open
 * when the connection is given up are handed back, so that they can be asked elsewhere.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.model.Address

/** Hears of one link. */
internal interface LinkEvents {
    /** The other side told its [news]. */
    fun heard(news: NewsMessage)

    /** The connection of [link] ended. */
    fun lost(link: PeerLink)
}

/** Questions of the instance called [hello] to the one at [address]. */
internal class PeerLink(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val address: Address,
    private val hello: String,
    private val events: LinkEvents,
) : PeerListener {
    private var channel: Channel? = null
    private var connecting = false
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
        closed()
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
        message.news?.let(events::heard)
        message.decision?.let { open[it.id]?.invoke(it) }
    }

    override fun closed() {
        channel = null
        connecting = false
        unsent.clear()
        val handedBack = open.values.toList()
        open.clear()
        events.lost(this)
        handedBack.forEach { it(LOST) }
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
            if (!connecting) transport.connect(address, this)
            connecting = true
        }
    }

    companion object {
        /** The decision that stands for a lost connection. */
        val LOST = DecisionMessage(-1)

        /** An answer takes a few milliseconds; this much silence calls for a sign of life. */
        private const val PING_MILLISECONDS = 150L

        /** No sign of life for so long, with two pings sent, means that the other side is lost or suspended. */
        private const val SILENCE_MILLISECONDS = 450L

        /** Versions of feeds are told this often. */
        private const val NEWS_MILLISECONDS = 200L
        private const val UNUSED_MILLISECONDS = 20_000L
    }
}
