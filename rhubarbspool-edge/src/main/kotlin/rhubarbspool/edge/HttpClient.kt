/*
 * A small HTTP client over Netty for requests and responses that fit in memory, used for the platform's services,
 * health endpoints and the operators' command line. Idle connections are kept open and reused. On a reused connection,
 * only the order of responses shows which call one belongs to, and a faulty server may send one twice: calls for which
 * that matters are sent on a connection of their own, and a connection that delivers anything but the one response to
 * the call in flight is not used again. An open connection may go silent for good, often together with
 * others: a call without a response in time also closes the idle connections that gave no sign of life since.
 */
package rhubarbspool.edge

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.model.Address
import java.util.ArrayDeque
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** A complete HTTP response. */
data class HttpAnswer(val status: Int, val headers: Map<String, String>, val body: String)

/**
 * A complete HTTP request; with [isExclusive], it is the only one on its connection. The server may hold the response
 * back for [holdMilliseconds], to wait for changes.
 */
data class HttpCall(
    val method: String,
    val path: String,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
    val isExclusive: Boolean = false,
    val holdMilliseconds: Long = 0,
)

/**
 * Sends HTTP requests; each response is limited to [maximumAnswerBytes], and to [timeoutMilliseconds] after the time
 * for which the server may hold it back.
 */
class HttpClient(
    private val group: EventLoopGroup,
    private val timeoutMilliseconds: Long,
    private val maximumAnswerBytes: Int = MAXIMUM_ANSWER_BYTES,
) {
    private class IdleChannel(val channel: Channel, val idleSince: Long)

    private val idle = ConcurrentHashMap<Address, ArrayDeque<IdleChannel>>()

    /** Sends [call] to [address]; the future fails when no complete response arrives before the timeout. */
    fun send(address: Address, call: HttpCall): CompletableFuture<HttpAnswer> {
        val answer = CompletableFuture<HttpAnswer>()
        val sentAt = ProcessClock.monotonic()
        val idleChannel = if (call.isExclusive) null else pollIdle(address)
        if (idleChannel != null) {
            exchange(idleChannel, isReused = true, address, call, answer)
        } else {
            connect(address, call, answer)
        }
        val limit = timeoutMilliseconds + call.holdMilliseconds
        val timer = group.next().schedule(
            {
                closeIdle(address) { it.idleSince <= sentAt }
                answer.completeExceptionally(TimeoutException("$address: no response in $limit ms"))
            },
            limit,
            TimeUnit.MILLISECONDS
        )
        answer.whenComplete { _, _ -> timer.cancel(false) }
        return answer
    }

    /** Whether there is an idle open connection to [address]. */
    fun hasIdle(address: Address): Boolean {
        val channels = idle[address] ?: return false
        return synchronized(channels) {
            channels.removeAll { !it.channel.isActive }
            channels.isNotEmpty()
        }
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: Address) = closeIdle(address) { true }

    private fun closeIdle(address: Address, selects: (IdleChannel) -> Boolean) {
        val channels = idle[address] ?: return
        val selected = synchronized(channels) { channels.filter(selects).also { channels.removeAll(it.toSet()) } }
        selected.forEach { it.channel.close() }
    }

    private fun pollIdle(address: Address): Channel? {
        val channels = idle[address] ?: return null
        return synchronized(channels) {
            generateSequence { channels.pollFirst()?.channel }.firstOrNull { it.isActive }
        }
    }

    private fun connect(address: Address, call: HttpCall, answer: CompletableFuture<HttpAnswer>) {
        val connectFuture = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(UnsolicitedBytesHandler(CallExchange::class.java))
                }
            })
            .connect(address.host, address.port)
        connectFuture.addListener {
            if (it.isSuccess) {
                exchange(connectFuture.channel(), isReused = false, address, call, answer)
            } else {
                answer.completeExceptionally(it.cause())
            }
        }
    }

    private fun exchange(
        channel: Channel,
        isReused: Boolean,
        address: Address,
        call: HttpCall,
        answer: CompletableFuture<HttpAnswer>,
    ) {
        val exchange = CallExchange(channel, address, isReused, maximumAnswerBytes, answer) { isReusable ->
            if (isReusable && !call.isExclusive) putIdle(address, channel) else channel.close()
        }
        answer.whenComplete { _, failure -> if (failure != null) closeWithReset(channel) }
        val request = toNettyRequest(address, call)
        if (channel.eventLoop().inEventLoop()) {
            exchange.start(request)
        } else {
            channel.eventLoop().execute { exchange.start(request) }
        }
    }

    private fun putIdle(address: Address, channel: Channel) {
        val channels = idle.computeIfAbsent(address) { ArrayDeque() }
        val released = IdleChannel(channel, ProcessClock.monotonic())
        synchronized(channels) { channels.addFirst(released) }
    }

    /** Closes [channel] with a TCP reset: unsent bytes are dropped, so an abandoned call can't arrive later. */
    private fun closeWithReset(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun toNettyRequest(address: Address, call: HttpCall): DefaultFullHttpRequest {
        val body = Unpooled.copiedBuffer(call.body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.path, body)
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        HttpUtil.setContentLength(request, body.readableBytes().toLong())
        if (call.isExclusive) HttpUtil.setKeepAlive(request, false)
        return request
    }

    private companion object {
        const val MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
    }
}
