/*
 * Connection pool of one backend server. A connection carries one request at a time. The number of connections is
 * bounded, and idle ones are closed soon, since a device in between may drop its state of an idle connection.
 */
package rhubarbspool.router

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import rhubarbspool.edge.ProcessClock
import rhubarbspool.model.Address
import java.io.IOException
import java.util.ArrayDeque

/** Connections to [address], at most [maximumConnections] at once. Used on one event loop. */
internal class ServerConnections(
    private val group: EventLoopGroup,
    private val address: Address,
    private val maximumConnections: Int,
) {
    private class Idle(val channel: Channel, val since: Long)

    private val idle = ArrayDeque<Idle>()

    /** Open connections, idle and busy. */
    var count: Int = 0
        private set

    /** Passes an idle or a new connection, or the failure, to [onResult]. */
    fun acquire(onResult: (Result<Channel>) -> Unit) {
        val reusable = pollIdle()
        when {
            reusable != null -> onResult(Result.success(reusable))
            count >= maximumConnections ->
                onResult(Result.failure(IOException("all $maximumConnections connections to $address are busy")))
            else -> connect(onResult)
        }
    }

    /** Returns a connection that can carry another request to the pool. */
    fun release(channel: Channel) {
        if (channel.isActive) idle.addFirst(Idle(channel, ProcessClock.monotonic()))
    }

    /** Closes connections that have been idle for longer than the limit at [now]. */
    fun closeIdle(now: Long) {
        while (idle.isNotEmpty() && now - idle.last().since > IDLE_MILLISECONDS) idle.removeLast().channel.close()
    }

    /** Closes every idle connection, since the server crashed or restarted. */
    fun closeAllIdle() {
        idle.forEach { it.channel.close() }
        idle.clear()
    }

    private fun pollIdle(): Channel? {
        while (idle.isNotEmpty()) {
            val channel = idle.removeFirst().channel
            if (channel.isActive) return channel
        }
        return null
    }

    private fun connect(onResult: (Result<Channel>) -> Unit) {
        count++
        val future = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(HttpClientCodec())
                }
            })
            .connect(address.host, address.port)
        future.channel().closeFuture().addListener { count-- }
        future.addListener {
            if (it.isSuccess) {
                onResult(Result.success(future.channel()))
            } else {
                future.channel().close()
                onResult(Result.failure(it.cause()))
            }
        }
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 300
        const val IDLE_MILLISECONDS = 3_000L
    }
}
