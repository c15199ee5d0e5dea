/*
 * Connections between instances: length-prefixed messages over TCP. The users of a connection close it when a response
 * is overdue, since an open connection may stop delivering data for good.
 */
package rhubarbspool.entry

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import io.netty.handler.flush.FlushConsolidationHandler
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import rhubarbspool.edge.ProcessClock
import rhubarbspool.model.Address

/** Callbacks of one connection. */
internal interface PeerListener {
    fun onOpened(channel: Channel) = Unit

    fun onReceived(message: PeerMessage)

    /** More can be sent over [channel]. */
    fun onWritable(channel: Channel) = Unit

    fun onDisconnected()
}

/** Opens and accepts connections between instances. */
internal class PeerTransport(private val group: EventLoopGroup, private val log: DecisionLog) {
    /** Accepts connections on [address]; [accept] creates the listener of each. */
    fun listen(address: Address, accept: (Channel) -> PeerListener): Channel = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = addHandlers(channel, accept(channel))
        })
        .bind(address.host, address.port).sync().channel()

    /** Connects to [address]; a failure to connect also calls [PeerListener.onDisconnected] of [listener]. */
    fun connect(address: Address, listener: PeerListener) {
        val future = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = addHandlers(channel, listener)
            })
            .connect(address.host, address.port)
        future.addListener { if (!it.isSuccess) listener.onDisconnected() }
    }

    /** Sends [message] over [channel]. */
    fun send(channel: Channel, message: PeerMessage) = sendEncoded(channel, encode(message))

    /** Sends the encoded message in [bytes] over [channel], which is closed if its other side takes nothing. */
    fun sendEncoded(channel: Channel, bytes: ByteArray) {
        val waitingBytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (waitingBytes > MAXIMUM_WAITING_BYTES) return disconnect(channel, "messages not taken")
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise())
    }

    /** Closes [channel] for [reason]. */
    fun disconnect(channel: Channel, reason: String) {
        if (channel.isActive) log.disconnected(channel.remoteAddress(), reason)
        channel.close()
    }

    private fun addHandlers(channel: SocketChannel, listener: PeerListener) {
        channel.pipeline().addLast(
            FlushConsolidationHandler(MESSAGES_PER_FLUSH, true),
            LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            LengthFieldPrepender(LENGTH_BYTES),
            FrameHandler(listener),
        )
    }

    private inner class FrameHandler(private val listener: PeerListener) : SimpleChannelInboundHandler<ByteBuf>() {
        private val signsOfLife = SignsOfLife()

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            if (context.channel().isWritable) listener.onWritable(context.channel())
        }

        override fun channelActive(context: ChannelHandlerContext) = listener.onOpened(context.channel())

        override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) = try {
            // Frames that were read together with the one that ended the connection.
            if (context.channel().isActive) onMessage(context.channel(), decode(ByteBufUtil.getBytes(frame))) else Unit
        } catch (exception: SerializationException) {
            log.fault(
                "cannot decode a message of a peer",
                "peer" to context.channel().remoteAddress(),
                "cause" to exception
            )
            context.close()
            Unit
        }

        private fun onMessage(channel: Channel, message: PeerMessage) {
            if (message.isSignOfLife && signsOfLife.isExcessive(ProcessClock.monotonic())) {
                disconnect(channel, "too many messages")
            } else {
                listener.onReceived(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) = listener.onDisconnected()

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.fault(
                "a connection between instances failed",
                "peer" to context.channel().remoteAddress(),
                "cause" to cause
            )
            context.close()
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private const val LENGTH_BYTES = 4

        /** Bytes that are on their way can't be replaced by newer ones; suffices for the fastest links. */
        private const val SEND_BUFFER_BYTES = 131_072

        /** Messages that are sent in one turn of the event loop share a system call. */
        private const val MESSAGES_PER_FLUSH = 64
        private const val MAXIMUM_FRAME_BYTES = 1_048_576

        /** The largest message and as much again that was sent behind it. */
        private const val MAXIMUM_WAITING_BYTES = 2 * MAXIMUM_FRAME_BYTES

        /** Allows for two round trips between failure domains and some load. */
        const val CONNECT_MILLISECONDS = 300

        /** Encodes [message]. */
        fun encode(message: PeerMessage): ByteArray = ProtoBuf.encodeToByteArray(
            PeerMessage.serializer(),
            message
        )

        /** Decodes a message; throws [SerializationException] if [bytes] are none. */
        fun decode(bytes: ByteArray): PeerMessage = ProtoBuf.decodeFromByteArray(
            PeerMessage.serializer(),
            bytes
        )
    }
}
