/*
 * A small HTTP server over Netty for requests that fit in memory, used for health and metrics endpoints and for the
 * stand-ins of the platform's services. Clients that exceed its limits are disconnected.
 */
package rhubarbspool.edge

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.flow.FlowControlHandler
import rhubarbspool.model.Address
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Handles HTTP requests. */
fun interface HttpHandler {
    /** Returns the response to [call]; if the future fails, the connection is closed without a response. */
    fun handle(call: HttpCall): CompletableFuture<HttpAnswer>
}

/**
 * Limits on the clients of a service: the size of a request's body, the time in which a request must arrive as a whole,
 * and the time for which a client may take nothing of a response.
 */
data class HttpLimits(
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val requestMilliseconds: Long = DEFAULT_REQUEST_MILLISECONDS,
    val stallMilliseconds: Long = DEFAULT_STALL_MILLISECONDS,
) {
    companion object {
        const val DEFAULT_BODY_BYTES: Int = 16 * 1024 * 1024
        const val DEFAULT_REQUEST_MILLISECONDS: Long = 3_000
        const val DEFAULT_STALL_MILLISECONDS: Long = 15_000
    }
}

/** What clients of a service may do, and who learns of those that do more. */
interface ClientGuard {
    /** The limits in force. */
    val limits: HttpLimits

    /** The client at [address] exceeded a limit, as [reason] says, and is disconnected. */
    fun onExcess(address: String, reason: String) = Unit
}

/** HTTP server that passes every request to [handler]; a client that exceeds the limits of [guard] is disconnected. */
class HttpService(
    private val group: EventLoopGroup,
    private val guard: ClientGuard,
    private val handler: HttpHandler,
) {
    /** A service with the default limits. */
    constructor(group: EventLoopGroup, handler: HttpHandler) : this(group, DefaultGuard, handler)

    private object DefaultGuard : ClientGuard {
        override val limits = HttpLimits()
    }

    /** Binds to [address] and returns the listening channel; closing it stops the listener. */
    fun listen(address: Address): Channel = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadBudget.allocator())
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val watch = TransferWatch(ProcessClock::monotonic)
                channel.pipeline()
                    .addLast(watch, HttpServerCodec(), Aggregator(), FlowControlHandler(), RequestHandler(watch))
            }
        })
        .bind(address.host, address.port).sync().channel()

    private fun disconnect(context: ChannelHandlerContext, reason: String) {
        guard.onExcess("${context.channel().remoteAddress()}", reason)
        context.close()
    }

    private inner class Aggregator : HttpObjectAggregator(guard.limits.bodyBytes) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) =
            disconnect(context, "request too large")
    }

    private inner class RequestHandler(private val watch: TransferWatch) :
        SimpleChannelInboundHandler<FullHttpRequest>() {
        private var check: Future<*>? = null

        override fun handlerAdded(context: ChannelHandlerContext) {
            check = context.executor().scheduleAtFixedRate(
                { checkLimits(context) },
                CHECK_MILLISECONDS,
                CHECK_MILLISECONDS,
                TimeUnit.MILLISECONDS,
            )
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            check?.cancel(false)
        }

        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (request.decoderResult().isFailure) return disconnect(context, "not a request")
            watch.onMessageReceived()
            val keepAlive = HttpUtil.isKeepAlive(request)
            val call = HttpCall(
                request.method().name(),
                request.uri(),
                request.content().toString(Charsets.UTF_8),
                request.headers().associate { it.key.lowercase() to it.value },
            )
            handler.handle(call).whenComplete { answer, failure ->
                if (failure != null) context.close() else write(context, answer, keepAlive)
            }
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) =
            watch.readWhile { context.channel().isWritable }

        private fun write(context: ChannelHandlerContext, answer: HttpAnswer, keepAlive: Boolean) {
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status),
                Unpooled.copiedBuffer(answer.body, Charsets.UTF_8),
            )
            answer.headers.forEach { (name, value) -> response.headers().set(name, value) }
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
            HttpUtil.setKeepAlive(response, keepAlive)
            val writeFuture = context.writeAndFlush(response)
            if (!keepAlive) writeFuture.addListener(ChannelFutureListener.CLOSE)
        }

        private fun checkLimits(context: ChannelHandlerContext) {
            val now = ProcessClock.monotonic()
            val limits = guard.limits
            val receivingSince = watch.receivingSince ?: now
            when {
                watch.isOutputStalled(now, limits.stallMilliseconds) -> disconnect(context, "response not taken")
                now - receivingSince > limits.requestMilliseconds -> disconnect(context, "request not complete")
            }
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause is IOException) context.close() else disconnect(context, "$cause")
        }
    }

    private companion object {
        const val CHECK_MILLISECONDS = 500L
    }
}
