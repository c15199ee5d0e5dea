/*
 * The process of an entry instance: callers' HTTP, pools, talk with other instances, and the coordinator, all on one
 * event loop.
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
import kotlinx.serialization.json.Json
import rhubarbspool.edge.Daemon
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpService
import rhubarbspool.edge.Metrics
import rhubarbspool.edge.ObservationHandler
import rhubarbspool.edge.ProcessClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** One entry process; [readyPath] is where the platform asks whether it takes callers. */
class EntryDaemon(
    private val settings: EntrySettings,
    names: HeaderNames,
    private val readyPath: String,
    private val group: EventLoopGroup,
    private val table: PlatformTable,
    decoder: RowDecoder,
    orders: OwnershipOrders,
) : Daemon {
    private val loop = group.next()
    private val clock: () -> Long = ProcessClock::monotonic
    private val log: DecisionLog = DecisionLog(clock)
    private val metrics = Metrics()
    private val counters = EntryMetrics(metrics)
    private val state: EntryState = EntryState(decoder, log)
    private val pools = PoolService(state)
    private val followers: Map<Feed, FeedFollower> = Feed.entries.associateWith { feed ->
        FeedFollower(feed, table, state, loop, log, counters, clock) { from, page -> source.read(from, page) }
    }
    private val transport = PeerTransport(group, log)
    private val source: RowSource = RowSource(settings, state, followers, transport, log, clock) { flow.learned() }
    private val hub = PeerHub(settings, state, pools, transport, log, clock) { followers.getValue(it).behind() }
    private val load = LoadCounter(state)
    private val links = ServerLinks(group, clock)
    private val flow: RequestFlow = RequestFlow(
        FlowContext(settings, names, state, loop, hub, links, counters, load, log, clock),
    )
    private val coordinator = CoordinatorRunner(settings, state, table, orders, log, ProcessClock::now)
    private val connections = HashSet<CallerConnection>()
    private val listening = ArrayList<Channel>()

    /** Starts to listen and to learn. */
    fun start() {
        listening += hub.listen()
        listening += HttpService(group, ObservationHandler(metrics, ::isReady)).listen(settings.metrics)
        listening += HttpService(group) { call -> CompletableFuture.completedFuture(readiness(call.path)) }
            .listen(settings.readiness)
        listening += listenToCallers()
        hub.source = source
        hub.onLoad = coordinator::loaded
        loop.execute { source.start() }
        loop.execute { register() }
        loop.scheduleWithFixedDelay(::tick, TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS)
        loop.scheduleWithFixedDelay(::report, REPORT_MILLISECONDS, REPORT_MILLISECONDS, TimeUnit.MILLISECONDS)
        loop.scheduleWithFixedDelay(::sweep, SWEEP_MILLISECONDS, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS)
        log.event("started", "instance" to settings.instance, "domain" to settings.domain, "callers" to settings.callers)
    }

    /** Stops in a planned way: no new callers, then what is open is answered, then the rest is closed. */
    override fun stop() {
        log.event("stopping", "instance" to settings.instance, "connections" to connections.size)
        val end = clock() + settings.stopMilliseconds
        onLoop {
            flow.isStopping = true
            coordinator.stop()
        }
        waitUntil(minOf(end, clock() + UNLISTED_MILLISECONDS)) { false }
        waitUntil(end) {
            onLoop {
                connections.filter { it.isIdle && clock() - it.activeAt > QUIET_MILLISECONDS }.forEach { it.close() }
                connections.isEmpty() && flow.running == 0
            }
        }
        log.event("stopped", "instance" to settings.instance, "open" to flow.running)
    }

    private fun listenToCallers(): Channel = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val headerBytes = state.configuration?.bounds?.headerBytes ?: DEFAULT_HEADER_BYTES
                val connection = CallerConnection(flow, clock) { connections -= it }
                connections += connection
                channel.pipeline().addLast(HttpServerCodec(headerBytes, headerBytes, CHUNK_BYTES), connection)
            }
        })
        .bind(settings.callers.host, settings.callers.port).sync().channel()

    private fun readiness(path: String): HttpAnswer {
        val ready = path.substringBefore('?') == readyPath && isReady()
        return HttpAnswer(if (ready) OK else UNAVAILABLE, emptyMap(), "")
    }

    private fun isReady(): Boolean =
        !flow.isStopping && state.configuration != null && state.versions[Feed.SERVERS] != null

    /** Writes this instance into the shared rows where it does not stand there yet. */
    private fun register() {
        val known = state.members[settings.instance]
        val me = Member(settings.instance, settings.domain, settings.peers)
        if (state.versions[Feed.SHARED] != null && known != me) {
            val key = EntryState.MEMBER_PREFIX + settings.instance
            val version = state.memberVersions[settings.instance] ?: 0
            table.write(key, followed = true, version, Json.encodeToString(Member.serializer(), me))
                .whenComplete { result, failure ->
                    if (failure != null) log.event("member.unwritten", "cause" to failure.message)
                    if (result is WriteResult.Conflict) {
                        state.memberVersions[settings.instance] = result.current?.version ?: 0
                    }
                }
        }
        val wait = if (known == me) REGISTERED_MILLISECONDS else REGISTER_MILLISECONDS
        loop.schedule(::register, wait, TimeUnit.MILLISECONDS)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun tick() {
        try {
            val now = clock()
            pools.tick(now)
            hub.tick(now)
            source.tick(now)
            coordinator.tick()
        } catch (exception: RuntimeException) {
            log.fault("a tick failed", "cause" to exception.stackTraceToString())
        }
    }

    private fun report() = load.flush { instance, message -> hub.report(instance, message, clock()) }

    private fun sweep() {
        val now = clock()
        state.directory.expire(now).forEach { log.belief("server", "server" to it, "state" to "lapsed") }
        links.closeIdle()
        val limit = (state.configuration?.bounds?.idleMilliseconds ?: return) * IDLE_PERCENT / PERCENT
        connections.filter { it.isIdle && now - it.activeAt > limit }.forEach { it.close() }
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit<T> { action() }.get()

    private fun waitUntil(end: Long, condition: () -> Boolean) {
        while (clock() < end && !condition()) Thread.sleep(POLL_MILLISECONDS)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val DEFAULT_HEADER_BYTES = 16_384
        const val CHUNK_BYTES = 16_384
        const val BACKLOG = 512

        /** Pace of all decisions that time alone brings about. */
        const val TICK_MILLISECONDS = 20L

        /** Pace of load reports; a hot key shows in two of them. */
        const val REPORT_MILLISECONDS = 300L
        const val SWEEP_MILLISECONDS = 500L
        const val POLL_MILLISECONDS = 20L

        /** The platform needs two questions, a second apart, to take an instance out of rotation. */
        const val UNLISTED_MILLISECONDS = 2_300L

        /** An idle connection is closed after this time without a request while stopping. */
        const val QUIET_MILLISECONDS = 700L
        const val REGISTER_MILLISECONDS = 300L
        const val REGISTERED_MILLISECONDS = 5_000L

        /** Callers use connections for four fifths of the idle limit; a little over all of it closes none in use. */
        const val IDLE_PERCENT = 110
        const val PERCENT = 100
    }
}
