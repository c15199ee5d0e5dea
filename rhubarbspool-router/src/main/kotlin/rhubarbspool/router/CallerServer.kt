/*
 * HTTP server for callers, on Netty's codec; requests of one connection are answered in order.
 */
package rhubarbspool.router

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import rhubarbspool.model.Address

/** Accepts connections of callers. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val admission: CallerAdmission,
    private val maximumConnections: Int,
) {
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    /** Binds to [address]. */
    fun listen(address: Address) {
        listener = ServerBootstrap().group(group).channel(DrainingServerChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = accept(channel)
            })
            .bind(address.host, address.port).sync().channel()
    }

    /** Stops accepting connections. */
    fun stopListening() {
        listener?.close()
    }

    /** Closes connections without a request in flight. */
    fun closeIdle() = channels.forEach { it.pipeline().get(CallerConnection::class.java)?.closeIfIdle() }

    /** Whether no connection has a request in flight. */
    val isIdle: Boolean get() = channels.all { it.pipeline().get(CallerConnection::class.java)?.isIdle ?: true }

    private fun accept(channel: SocketChannel) {
        val isFull = channels.size >= maximumConnections
        channels.add(channel)
        val limits = HttpDecoderConfig().setMaxInitialLineLength(LINE_BYTES).setMaxHeaderSize(HEADER_BYTES)
        channel.pipeline().addLast(
            HttpServerCodec(limits),
            IdleStateHandler(IDLE_SECONDS, 0, 0),
            CallerConnection(admission, isFull),
        )
    }

    private companion object {
        const val BACKLOG = 1_024
        const val LINE_BYTES = 8_192
        const val HEADER_BYTES = 16_384
        const val IDLE_SECONDS = 60
    }
}
