/*
 * Stand-in for a backend server: runs requests in its slots, starts cold, drains, sheds, accepts cancellation,
 * deadlines and fenced grants, and injects faults on demand. `/control` sets its behaviour, `/counts` returns
 * its counts, `/health` is its health report.
 */
package rhubarbspool.standins

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.encodeToString
import rhubarbspool.edge.platformJson
import rhubarbspool.model.Address
import kotlin.random.Random

/**
 * A backend server named [name]. All its state is confined to one event loop.
 *
 * @property crash called on a crash after all channels are closed; the program halts its process here.
 */
class BackendStandIn(
    private val name: String,
    group: EventLoopGroup,
    behaviour: ServerBehaviour,
    private val random: Random = Random(1),
    private val crash: () -> Unit = {},
) {
    private val loop = group.next()
    private val channels = DefaultChannelGroup(loop)
    private val grants = StandInGrants()
    private val runs = StandInRuns(name, loop, random) { this.behaviour }
    private var listener: Channel? = null
    private var incarnation = ""

    /** Current behaviour. */
    @Volatile
    var behaviour: ServerBehaviour = behaviour
        private set

    /** Listens on [address] as a new incarnation, without grants or running requests. */
    fun start(address: Address) {
        incarnation = random.nextLong().toULong().toString(RADIX)
        grants.clear()
        runs.restart()
        listener = ServerBootstrap().group(loop).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channels.add(channel)
                    channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BODY_BYTES), Requests())
                }
            })
            .bind(address.host, address.port).sync().channel()
    }

    /** Closes the listener and all connections immediately, like a process that is killed. */
    fun stop() {
        listener?.close()
        channels.close()
        runs.restart()
    }

    /** Replaces the behaviour with [next]. */
    fun behave(next: ServerBehaviour) {
        behaviour = next
    }

    /** Counts since the stand-in was created. */
    fun counts(): ServerCounts = loop.submit<ServerCounts> { runs.counts(grants.refused) }.get()

    private fun health() = HealthMessage(
        incarnation,
        if (runs.isCold && !behaviour.saysWarm) "cold" else "warm",
        behaviour.draining,
        runs.running,
    )

    private fun die() {
        stop()
        crash()
    }

    private inner class Requests : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val body = request.content().toString(Charsets.UTF_8)
            val path = request.uri()
            when {
                path == HEALTH -> context.answer(OK, platformJson.encodeToString(health()))
                path == COUNTS -> context.answer(OK, platformJson.encodeToString(runs.counts(grants.refused)))
                path == CONTROL -> control(context, body)
                path == GRANTS -> context.answer(grants.accept(platformJson.decodeFromString(body)), "")
                path.startsWith(CANCELLATIONS) -> {
                    runs.cancel(path.removePrefix(CANCELLATIONS))
                    context.answer(OK, "")
                }

                !behaviour.silent -> receive(context, request, body)
            }
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun control(context: ChannelHandlerContext, body: String) {
            if (body.isNotEmpty()) behave(platformJson.decodeFromString(body))
            context.answer(OK, platformJson.encodeToString(behaviour))
        }

        private fun receive(context: ChannelHandlerContext, request: FullHttpRequest, body: String) {
            val crashes = behaviour.crashOn.isNotEmpty() && behaviour.crashOn in request.uri()
            when {
                crashes -> die()
                behaviour.checksGrants && !grants.allow(request.headers()) ->
                    context.answer(PRECONDITION_FAILED, "grant refused")

                random.nextDouble() < behaviour.shedFraction -> context.answer(UNAVAILABLE, "shed", retryAfter = true)
                else -> runs.add(context, request, body)
            }
        }
    }

    private companion object {
        const val OK = 200
        const val PRECONDITION_FAILED = 412
        const val UNAVAILABLE = 503
        const val RADIX = 36
        const val MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
        const val HEALTH = "/health"
        const val CONTROL = "/control"
        const val COUNTS = "/counts"
        const val GRANTS = "/grants"
        const val CANCELLATIONS = "/cancellations/"
    }
}

/** Writes a complete response. */
internal fun ChannelHandlerContext.answer(status: Int, text: String, retryAfter: Boolean = false) {
    val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    if (retryAfter) response.headers().set(HttpHeaderNames.RETRY_AFTER, 1)
    writeAndFlush(response)
}
