/*
 * One call of the HTTP client on one connection. The decoder lives as long as the exchange, so that whatever arrives
 * beside the one response is seen: the connection is not used again, and on a connection that was used before, the
 * response may be a late copy of that to an earlier call.
 */
package rhubarbspool.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.ReferenceCountUtil
import rhubarbspool.model.Address
import java.io.IOException
import java.util.concurrent.CompletableFuture

/**
 * A call to [address] over [channel], which [isReused] if it has carried another one; completes [answer] with a
 * response of at most [maximumBytes]. Calls [onEnded] before, with whether the connection can carry another call.
 */
internal class CallExchange(
    private val channel: Channel,
    private val address: Address,
    private val isReused: Boolean,
    private val maximumBytes: Int,
    private val answer: CompletableFuture<HttpAnswer>,
    private val onEnded: (Boolean) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val codec = HttpClientCodec()
    private val aggregator = HttpObjectAggregator(maximumBytes)
    private val bytesHandler = AnswerBytesHandler(maximumBytes) {
        fail(IOException("$address sent over $maximumBytes bytes for a response"))
    }
    private var response: HttpAnswer? = null
    private var isReusable = false
    private var hasSurplus = false

    /** Sends [request]; called on the event loop of the connection. */
    fun start(request: FullHttpRequest) {
        channel.pipeline().addFirst(bytesHandler).addLast(codec, aggregator, this)
        channel.writeAndFlush(request).addListener { if (!it.isSuccess) fail(it.cause()) }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when {
                response != null -> hasSurplus = true
                message is FullHttpResponse -> onResponse(message)
                message is ByteBuf -> fail(IOException("$address changed the protocol"))
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onResponse(message: FullHttpResponse) {
        val decodeError = message.decoderResult().cause()
        val body = message.content().toString(Charsets.UTF_8)
        when {
            decodeError != null -> fail(IOException("$address sent an invalid HTTP response", decodeError))
            message.status().code() < FIRST_FINAL_STATUS -> Unit
            StatusLines.isIn(message) || (isReused && StatusLines.isIn(body)) ->
                fail(IOException("$address sent a response within another one"))
            else -> {
                val headers = message.headers().associate { it.key.lowercase() to it.value }
                response = HttpAnswer(message.status().code(), headers, body)
                isReusable = HttpUtil.isKeepAlive(message)
                // What the decoder holds is passed on as it is removed.
                channel.pipeline().remove(codec)
            }
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) = end()

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        end()
        fail(IOException("$address closed the connection before its response was complete"))
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause)
        context.close()
    }

    private fun fail(cause: Throwable) {
        answer.completeExceptionally(cause)
    }

    private fun end() {
        val received = response ?: return
        if (channel.pipeline().context(this) == null) return
        listOf(bytesHandler, aggregator, this).forEach { channel.pipeline().remove(it) }
        if (hasSurplus && isReused) fail(IOException("$address sent more than one response"))
        onEnded(isReusable && !hasSurplus && !answer.isDone)
        answer.complete(received)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
    }
}
