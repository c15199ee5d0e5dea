/*
 * Connections to backend servers. A connection carries one request at a time. Idle ones are kept for less than the
 * server's own limit, and one that brings bytes while nothing is asked is closed: they belong to no request.
 */
package rhubarbspool.entry

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import rhubarbspool.edge.UnsolicitedBytesHandler
import rhubarbspool.model.Address
import java.util.ArrayDeque

/** Opens and keeps connections; used on the event loop only. */
internal class ServerLinks(private val group: EventLoopGroup, private val clock: () -> Long) {
    private class Idle(val channel: Channel, val since: Long, val limit: Long) {
        fun isStale(now: Long): Boolean = now - since > limit || !channel.isActive
    }

    private val idle = HashMap<Address, ArrayDeque<Idle>>()

    /** Connections opened so far. */
    var opened: Long = 0
        private set

    /** Hands a connection to [received], null when none can be had; a kept one was idle for less than [age]. */
    fun acquire(address: Address, age: Long, received: (Channel?) -> Unit) {
        val kept = takeIdle(address, age)
        if (kept != null) received(kept) else connect(address, received)
    }

    /** Gives back a connection that the server keeps open for [keptOpen] milliseconds. */
    fun release(address: Address, channel: Channel, keptOpen: Long) {
        if (!channel.isActive) return
        channel.config().isAutoRead = true
        idle.getOrPut(address) { ArrayDeque() }.addFirst(Idle(channel, clock(), keptOpen * KEPT_PERCENT / PERCENT))
    }

    /** Closes connections that were idle for too long. */
    fun closeIdle() {
        val now = clock()
        idle.values.forEach { links ->
            while (links.isNotEmpty() && links.last().isStale(now)) links.removeLast().channel.close()
        }
        idle.values.removeAll { it.isEmpty() }
    }

    /** Closes all idle connections to [address]. */
    fun forget(address: Address) {
        idle.remove(address)?.forEach { it.channel.close() }
    }

    private fun takeIdle(address: Address, age: Long): Channel? {
        val now = clock()
        val links = idle[address]
        var found: Channel? = null
        while (found == null && !links.isNullOrEmpty()) {
            val link = links.removeFirst()
            val fresh = now - link.since <= minOf(link.limit, age)
            if (link.channel.isActive && fresh) found = link.channel else link.channel.close()
        }
        return found
    }

    private fun connect(address: Address, received: (Channel?) -> Unit) {
        opened++
        val future = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(UnsolicitedBytesHandler(ServerExchange::class.java), codec())
                }
            })
            .connect(address.host, address.port)
        future.addListener { received(if (it.isSuccess) future.channel() else null) }
    }

    private fun codec() = HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES)

    companion object {
        /** Age limit for requests that may be repeated: the server's own limit decides. */
        const val ANY_AGE: Long = Long.MAX_VALUE

        /** A request that can't be repeated is not sent on a connection that the server may be closing. */
        const val YOUNG_MILLISECONDS: Long = 3_000

        /** Share of the server's limit for which an idle connection is used. */
        private const val KEPT_PERCENT = 70
        private const val PERCENT = 100

        /** Two round trips between failure domains, one lost packet excepted. */
        private const val CONNECT_MILLISECONDS = 350
        private const val MAXIMUM_LINE_BYTES = 8_192
        private const val MAXIMUM_HEADER_BYTES = 32_768
        private const val MAXIMUM_CHUNK_BYTES = 16_384
    }
}
