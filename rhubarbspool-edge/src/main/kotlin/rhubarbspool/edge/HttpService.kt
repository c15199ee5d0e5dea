/*
 * A small HTTP server over Netty for requests that fit in memory, used for health and metrics endpoints and for the
 * stand-ins of the platform's services.
 */
package rhubarbspool.edge

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.model.Address
import java.util.concurrent.CompletableFuture

/** Handles HTTP requests. */
fun interface HttpHandler {
    /** Returns the response to [call]; if the future fails, the connection is closed without a response. */
    fun handle(call: HttpCall): CompletableFuture<HttpAnswer>
}

/** HTTP server that passes every request to [handler]. */
class HttpService(private val group: EventLoopGroup, private val handler: HttpHandler) {
    /** Binds to [address] and returns the listening channel; closing it stops the listener. */
    fun listen(address: Address): Channel = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline()
                    .addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_REQUEST_BYTES), RequestHandler(handler))
            }
        })
        .bind(address.host, address.port).sync().channel()

    private class RequestHandler(private val handler: HttpHandler) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
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

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAXIMUM_REQUEST_BYTES = 16 * 1024 * 1024
    }
}
