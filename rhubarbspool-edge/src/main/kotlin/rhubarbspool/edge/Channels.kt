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

/** One channel for each peer. */
class Channels(private val group: EventLoopGroup, private val keepAlive: Boolean) {
    private class Entry(val channel: ManagedChannel) {
        @Volatile
        var answeredAt = ProcessClock.monotonic()
    }

    private val entries = ConcurrentHashMap<Address, Entry>()

    /** The channel to [address], opened when there is none. */
    fun channel(address: Address): ManagedChannel = entries.computeIfAbsent(address) { Entry(open(it)) }.channel

    /** Notes that a call over the channel to [address] was answered. */
    fun recordResponse(address: Address) {
        entries[address]?.answeredAt = ProcessClock.monotonic()
    }

    /**
     * Notes that a call over the channel to [address], made at [startedAt], got no answer in time. The channel is
     * replaced only when it answered nothing since then, and not for a while: closing it cuts off every other call.
     */
    fun recordTimeout(address: Address, startedAt: Long) {
        val answeredAt = entries[address]?.answeredAt ?: return
        val silentSince = maxOf(answeredAt, startedAt)
        val silent = answeredAt <= startedAt && ProcessClock.monotonic() - silentSince > MINIMUM_SILENCE_MILLISECONDS
        if (silent) replace(address)
    }

    /** Closes the channel to [address]; the next call opens a new one. */
    fun replace(address: Address) {
        entries.remove(address)?.channel?.shutdownNow()
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
        if (keepAlive) builder.keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS).keepAliveTimeout(1, TimeUnit.SECONDS)
        return builder.build()
    }

    companion object {
        /** Largest message between two processes. */
        const val MAXIMUM_MESSAGE_BYTES: Int = 32 * 1024 * 1024

        /** Seconds between two pings of a connection in use. */
        const val KEEP_ALIVE_SECONDS: Long = 10
        private const val CONNECT_TIMEOUT_MILLISECONDS = 500
        private const val MINIMUM_SILENCE_MILLISECONDS = 400L
    }
}
