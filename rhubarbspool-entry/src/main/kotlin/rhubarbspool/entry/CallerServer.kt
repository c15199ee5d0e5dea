/*
 * Accepts callers' connections and tracks the open ones.
 */
package rhubarbspool.entry

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.flow.FlowControlHandler
import rhubarbspool.edge.TransferWatch
import rhubarbspool.traffic.CallerBounds

/** Accepts callers' connections; their requests go to [handler]. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val context: ProcessContext,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private var listening: Channel? = null

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Binds the callers' address; closing the returned channel stops accepting connections. */
    fun listen(): Channel = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val headerBytes = context.state.configuration?.bounds?.headerBytes ?: DEFAULT_HEADER_BYTES
                val watch = TransferWatch(context::clock)
                val connection = CallerConnection(handler, watch, context::clock, context.log) { connections -= it }
                connections += connection
                val codec = HttpServerCodec(headerBytes, headerBytes, CHUNK_BYTES)
                channel.pipeline().addLast(watch, codec, FlowControlHandler(), connection)
            }
        })
        .bind(context.settings.callers.host, context.settings.callers.port).sync().channel().also { listening = it }

    /** Closes connections that have been idle for more than [milliseconds]; returns whether none is left open. */
    fun closeIdle(milliseconds: Long): Boolean {
        val now = context.clock()
        connections.filter { it.isIdle && now - it.lastActiveAt > milliseconds }.forEach { it.close() }
        return connections.isEmpty()
    }

    /** Closes the connections of callers that exceed [bounds]. */
    fun closeExcessive(bounds: CallerBounds) {
        val now = context.clock()
        connections.toList().forEach { it.closeIfExcessive(bounds, now) }
    }

    /** Stops accepting connections and closes the open ones. */
    fun close() {
        listening?.close()
        connections.toList().forEach { it.close() }
    }

    private companion object {
        const val DEFAULT_HEADER_BYTES = 16_384
        const val CHUNK_BYTES = 16_384
        const val BACKLOG = 512
    }
}
