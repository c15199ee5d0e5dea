/*
 * Stand-in for a backend server: runs requests in its slots, starts cold, drains, sheds, accepts cancellation,
 * deadlines and fenced grants, and misbehaves on demand. `/control` switches its behaviour, `/counts` tells what
 * it saw, `/health` is its own report.
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
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.platformJson
import rhubarbspool.model.Address
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/**
 * One backend server called [name]. All its work is done on one event loop.
 *
 * @property crash what a crash does beyond closing everything; the program ends itself.
 */
class BackendStandIn(
    private val name: String,
    private val group: EventLoopGroup,
    behaviour: ServerBehaviour,
    private val random: Random = Random(1),
    private val crash: () -> Unit = {},
) {
    private class Run(val context: ChannelHandlerContext, val request: ReceivedRequest, val deadlineAt: Long)

    private data class ReceivedRequest(val call: String?, val id: String?, val target: String, val method: String, val body: String)

    private val loop = group.next()
    private val channels = DefaultChannelGroup(loop)
    private val waiting = ArrayDeque<Run>()
    private val runsById = HashMap<String, Int>()
    private val cancelled = HashSet<String>()
    private var listener: Channel? = null
    private var running = 0
    private var runs = 0L
    private var mostAtOnce = 0
    private var mostAtOnceCold = 0
    private var fellOver = 0
    private var refusedByGrant = 0L
    private var startedAt = 0L
    private var runName = ""
    private var gateEpoch = 0L
    private var grantEndsAt = 0L
    private val shardEpochs = HashMap<String, Long>()

    /** Behaviour in force. */
    @Volatile
    var behaviour: ServerBehaviour = behaviour
        private set

    /** Listens on [address] as a process that was just started. */
    fun start(address: Address) {
        startedAt = ProcessClock.monotonic()
        runName = random.nextLong().toULong().toString(RADIX)
        gateEpoch = 0
        shardEpochs.clear()
        running = 0
        waiting.clear()
        listener = ServerBootstrap().group(loop).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channels.add(channel)
                    channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BODY_BYTES), Requests())
                }
            })
            .bind(address.host, address.port).sync().channel()
    }

    /** Ends as a process that dies: everything is closed at once. */
    fun stop() {
        listener?.close()
        channels.close()
        running = 0
        waiting.clear()
    }

    /** Switches the behaviour. */
    fun behave(next: ServerBehaviour) {
        behaviour = next
    }

    /** What the server saw so far. */
    fun counts(): ServerCounts = loop.submit<ServerCounts> { currentCounts() }.get()

    private fun currentCounts() = ServerCounts(
        runs,
        runsById.filterValues { it > 1 }.keys.toList(),
        mostAtOnce,
        mostAtOnceCold,
        fellOver,
        refusedByGrant,
    )

    private val cold: Boolean get() = ProcessClock.monotonic() - startedAt < behaviour.coldMilliseconds

    private inner class Requests : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (behaviour.silent && channels.size > 0 && request.uri() != HEALTH && request.uri() != CONTROL) return
            val body = request.content().toString(Charsets.UTF_8)
            when {
                request.uri() == HEALTH -> answer(context, OK, platformJson.encodeToString(health()))
                request.uri() == COUNTS -> answer(context, OK, platformJson.encodeToString(currentCounts()))
                request.uri() == CONTROL -> {
                    if (body.isNotEmpty()) behave(platformJson.decodeFromString(body))
                    answer(context, OK, platformJson.encodeToString(behaviour))
                }

                request.uri() == GRANTS -> answer(context, grant(platformJson.decodeFromString(body)), "")
                request.uri().startsWith(CANCELLATIONS) -> cancel(context, request.uri().removePrefix(CANCELLATIONS))
                else -> receive(context, request, body)
            }
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private fun health() = HealthMessage(
        runName,
        if (cold && !behaviour.saysWarm) "cold" else "warm",
        behaviour.draining,
        running,
    )

    private fun grant(message: GrantMessage): Int {
        if (message.gateEpoch < gateEpoch) return PRECONDITION_FAILED
        gateEpoch = message.gateEpoch
        grantEndsAt = ProcessClock.monotonic() + message.remainingMilliseconds
        return OK
    }

    private fun cancel(context: ChannelHandlerContext, call: String) {
        cancelled += call
        waiting.removeIf { it.request.call == call }
        answer(context, OK, "")
    }

    private fun receive(context: ChannelHandlerContext, request: FullHttpRequest, body: String) {
        val headers = request.headers()
        val received = ReceivedRequest(headers[CALL], headers[REQUEST_ID], request.uri(), request.method().name(), body)
        val remaining = headers[REMAINING]?.toLongOrNull() ?: Long.MAX_VALUE / 2
        val deadlineAt = ProcessClock.monotonic() + remaining
        val epoch = headers[GATE_EPOCH]?.toLongOrNull() ?: 0
        val shard = headers[SHARD].orEmpty()
        val shardEpoch = headers[SHARD_EPOCH]?.toLongOrNull() ?: 0
        when {
            behaviour.crashOn.isNotEmpty() && behaviour.crashOn in request.uri() -> die()
            behaviour.checksGrants && !granted(epoch, shard, shardEpoch) -> {
                refusedByGrant++
                answer(context, PRECONDITION_FAILED, "grant refused")
            }

            random.nextDouble() < behaviour.shedFraction -> answer(context, UNAVAILABLE, "shed", retryAfter = true)
            else -> {
                waiting += Run(context, received, deadlineAt)
                startNext()
            }
        }
    }

    private fun granted(epoch: Long, shard: String, shardEpoch: Long): Boolean {
        val current = epoch >= gateEpoch && ProcessClock.monotonic() < grantEndsAt
        val known = shardEpochs[shard] ?: 0
        if (!current || shardEpoch < known) return false
        shardEpochs[shard] = shardEpoch
        return true
    }

    private fun die() {
        stop()
        crash()
    }

    private fun startNext() {
        if (cold && running + waiting.size > behaviour.coldSlots) {
            mostAtOnceCold = maxOf(mostAtOnceCold, running + waiting.size)
            fellOver++
            startedAt = ProcessClock.monotonic()
        }
        while (running < behaviour.slots && waiting.isNotEmpty()) run(waiting.removeFirst())
    }

    private fun run(run: Run) {
        if (ProcessClock.monotonic() >= run.deadlineAt || run.request.call in cancelled) {
            answer(run.context, UNAVAILABLE, "deadline passed before the run", retryAfter = true)
            return
        }
        running++
        runs++
        mostAtOnce = maxOf(mostAtOnce, running)
        if (cold) mostAtOnceCold = maxOf(mostAtOnceCold, running)
        run.request.id?.let { runsById.merge(it, 1, Int::plus) }
        loop.schedule({ finish(run) }, serviceMicroseconds(), TimeUnit.MICROSECONDS)
    }

    private fun serviceMicroseconds(): Long {
        val spread = HALF - HALF * ln(1 - random.nextDouble())
        val factor = behaviour.slowFactor * if (cold) behaviour.coldFactor else 1.0
        return (behaviour.serviceMilliseconds * factor * spread * MICROSECONDS).toLong()
    }

    private fun finish(run: Run) {
        if (running == 0) return
        running--
        val text = "{\"server\":\"$name\",\"target\":\"${run.request.target}\",\"request\":\"${run.request.id ?: ""}\"," +
            "\"echo\":\"${run.request.body.length}\",\"filler\":\"${"x".repeat(behaviour.answerBytes)}\"}"
        answer(run.context, OK, text)
        startNext()
    }

    private fun answer(context: ChannelHandlerContext, status: Int, text: String, retryAfter: Boolean = false) {
        val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        if (retryAfter) response.headers().set(HttpHeaderNames.RETRY_AFTER, 1)
        context.writeAndFlush(response)
    }

    private companion object {
        const val OK = 200
        const val PRECONDITION_FAILED = 412
        const val UNAVAILABLE = 503
        const val RADIX = 36
        const val HALF = 0.5
        const val MICROSECONDS = 1_000.0
        const val MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
        const val HEALTH = "/health"
        const val CONTROL = "/control"
        const val COUNTS = "/counts"
        const val GRANTS = "/grants"
        const val CANCELLATIONS = "/cancellations/"
        const val CALL = "rhubarbspool-call"
        const val REQUEST_ID = "idempotency-key"
        const val REMAINING = "rhubarbspool-remaining-milliseconds"
        const val GATE_EPOCH = "rhubarbspool-gate-epoch"
        const val SHARD = "rhubarbspool-shard"
        const val SHARD_EPOCH = "rhubarbspool-shard-epoch"
    }
}
