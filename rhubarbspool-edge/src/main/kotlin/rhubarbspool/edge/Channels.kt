/*
 * gRPC connections between the system's processes. A connection that goes silent is found by pings and by calls
 * that miss their deadlines in a row, and is replaced.
 */
package rhubarbspool.edge

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import rhubarbspool.model.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** One channel for each peer. */
class Channels(private val group: EventLoopGroup, private val pings: Boolean) {
    private class Entry(val channel: ManagedChannel) {
        val misses = AtomicInteger()
    }

    private val entries = ConcurrentHashMap<Address, Entry>()

    /** The channel to [address], opened when there is none. */
    fun channel(address: Address): ManagedChannel = entries.computeIfAbsent(address) { Entry(open(it)) }.channel

    /** Notes that a call over the channel to [address] was answered. */
    fun answered(address: Address) {
        entries[address]?.misses?.set(0)
    }

    /** Notes that a call over the channel to [address] got no answer in time; replaces a channel gone silent. */
    fun missed(address: Address) {
        val entry = entries[address] ?: return
        val silent = entry.misses.incrementAndGet() >= MISSES
        if (silent && entries.remove(address, entry)) entry.channel.shutdownNow()
    }

    /** Closes all channels. */
    fun close() {
        entries.values.forEach { it.channel.shutdownNow() }
        entries.clear()
    }

    private fun open(address: Address): ManagedChannel {
        val builder = NettyChannelBuilder.forAddress(java.net.InetSocketAddress(address.host, address.port))
            .eventLoopGroup(group)
            .channelType(NioSocketChannel::class.java)
            .withOption(ChannelOption.TCP_NODELAY, true)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .usePlaintext()
            .directExecutor()
            .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
        if (pings) builder.keepAliveTime(PING_SECONDS, TimeUnit.SECONDS).keepAliveTimeout(1, TimeUnit.SECONDS)
        return builder.build()
    }

    companion object {
        /** Largest message between two processes. */
        const val MAXIMUM_MESSAGE_BYTES: Int = 32 * 1024 * 1024

        /** Seconds between two pings of a connection in use. */
        const val PING_SECONDS: Long = 10
        private const val CONNECT_TIMEOUT_MILLISECONDS = 500
        private const val MISSES = 3
    }
}
