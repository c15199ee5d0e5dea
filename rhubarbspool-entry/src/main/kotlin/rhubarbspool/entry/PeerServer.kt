/*
 * Incoming connections of other instances.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import rhubarbspool.traffic.LeavingServer

/** Serves slot requests, subscriptions and load reports of other instances. */
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
        private var asker: String? = null

        override fun onReceived(message: PeerMessage) {
            val now = context.clock()
            if (message.hello.isNotEmpty() && !isIdentified(message.hello)) return
            message.news?.let(events::onFeedVersions)
            message.subscribe?.let { subscribers.add(channel, it) }
            message.load?.let(events::onLoad)
            message.leaving.forEach { events.onServerLeaving(it.toServer(now)) }
            asker?.let { serve(it, message, now) }
            if (message.ping || message.news != null) {
                transport.send(channel, PeerMessage(news = context.state.feedVersions()))
            }
        }

        override fun onWritable(channel: Channel) = subscribers.onWritable(channel)

        override fun onDisconnected() {
            subscribers.remove(channel)
            asker?.let { pools.detach(it, context.clock()) }
        }

        private fun serve(asker: String, message: PeerMessage, now: Long) {
            message.ask?.let { pools.submit(asker, it, now) }
            message.done?.let { pools.complete(asker, it, now) }
            message.withdraw?.let { pools.withdraw(asker, it, now) }
        }

        /** Registers the asker [name]; a second one on the same connection ends it. */
        private fun isIdentified(name: String): Boolean {
            if (asker != null) {
                transport.disconnect(channel, "a second name")
                return false
            }
            val connectionName = "$name#${channel.id().asShortText()}"
            asker = connectionName
            pools.attach(connectionName) { transport.send(channel, PeerMessage(decision = it)) }
            return true
        }
    }
}

/** Callbacks for messages of other instances. */
internal interface PeerEvents {
    /** Another instance sent the newest versions that it has read. */
    fun onFeedVersions(versions: FeedVersions)

    /** Another instance reported the load of a service. */
    fun onLoad(load: LoadMessage)

    /** Another instance was told by [server] that it leaves. */
    fun onServerLeaving(server: LeavingServer)
}
