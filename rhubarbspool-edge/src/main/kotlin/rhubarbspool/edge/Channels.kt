/*
 * gRPC connections between the system's processes. A dead connection is detected by keep-alive pings and by
 * consecutive calls that miss their deadlines, and is replaced.
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

/** Holds one gRPC channel for each peer address; [keepAlive] turns on HTTP/2 keep-alive pings. */
class Channels(private val group: EventLoopGroup, private val keepAlive: Boolean) {
    private class Entry(val channel: ManagedChannel) {
        @Volatile
        var answeredAt = ProcessClock.monotonic()
    }

    private val entries = ConcurrentHashMap<Address, Entry>()

    /** Returns the channel to [address], and opens it when there is none. */
    fun channel(address: Address): ManagedChannel = entries.computeIfAbsent(address) { Entry(open(it)) }.channel

    /** Records that a call over the channel to [address] got a response. */
    fun recordResponse(address: Address) {
        entries[address]?.answeredAt = ProcessClock.monotonic()
    }

    /**
     * Records that a call over the channel to [address], started at [startedAt], got no response in time. The channel
     * is replaced only if it got no response since then, for more than [MINIMUM_SILENCE_MILLISECONDS]: closing it
     * aborts every other call on it.
     */
    fun recordTimeout(address: Address, startedAt: Long) {
        val answeredAt = entries[address]?.answeredAt ?: return
        val silentSince = maxOf(answeredAt, startedAt)
        val silent = answeredAt <= startedAt && ProcessClock.monotonic() - silentSince > MINIMUM_SILENCE_MILLISECONDS
        if (silent) replace(address)
    }

    /** Closes the channel to [address] and aborts its calls; the next call opens a new channel. */
    fun replace(address: Address) {
        entries.remove(address)?.channel?.shutdownNow()
    }

    /** Closes all channels and aborts their calls. */
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
        /** Maximum size of a message between two processes. */
        const val MAXIMUM_MESSAGE_BYTES: Int = 32 * 1024 * 1024

        /** Seconds between two keep-alive pings of a connection in use. */
        const val KEEP_ALIVE_SECONDS: Long = 10
        private const val CONNECT_TIMEOUT_MILLISECONDS = 500
        private const val MINIMUM_SILENCE_MILLISECONDS = 400L
    }
}
