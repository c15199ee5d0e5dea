/*
 * The connections of other instances that ask here.
 */
package rhubarbspool.entry

import io.netty.channel.Channel

/** Answers other instances. */
internal class PeerServer(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val pools: PoolService,
    private val subscribers: RowSubscribers,
    private val events: PeerEvents,
) {
    /** Listens for other instances. */
    fun listen(): Channel = transport.listen(context.settings.peers, ::Connection)

    private inner class Connection(private val channel: Channel) : PeerListener {
        private var owner: String? = null

        override fun received(message: PeerMessage) {
            val now = context.clock()
            if (message.hello.isNotEmpty()) introduce(message.hello)
            message.news?.let(events::heard)
            message.subscribe?.let { subscribers.add(channel, it) }
            message.load?.let(events::loaded)
            owner?.let { serve(it, message, now) }
            if (message.ping || message.news != null) {
                transport.send(channel, PeerMessage(news = context.state.news()))
            }
        }

        override fun closed() {
            subscribers.remove(channel)
            owner?.let { pools.detach(it, context.clock()) }
        }

        private fun serve(asker: String, message: PeerMessage, now: Long) {
            message.ask?.let { pools.submit(asker, it, now) }
            message.done?.let { pools.complete(asker, it, now) }
            message.withdraw?.let { pools.withdraw(asker, it, now) }
        }

        private fun introduce(name: String) {
            val unique = "$name#${channel.id().asShortText()}"
            owner = unique
            pools.attach(unique) { transport.send(channel, PeerMessage(decision = it)) }
        }
    }
}

/** Hears what other instances tell. */
internal interface PeerEvents {
    /** How far another instance has read. */
    fun heard(news: NewsMessage)

    /** Load that another instance saw. */
    fun loaded(load: LoadMessage)
}
