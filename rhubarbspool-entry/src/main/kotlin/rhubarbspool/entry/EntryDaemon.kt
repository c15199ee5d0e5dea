/*
 * The process of an entry instance: the callers' HTTP server, pools, connections to other instances, and the
 * coordinator, all on one event loop.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import rhubarbspool.dispatch.PlannedStop
import rhubarbspool.edge.ClientGuard
import rhubarbspool.edge.Daemon
import rhubarbspool.edge.HealthAndMetricsHandler
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpLimits
import rhubarbspool.edge.HttpService
import rhubarbspool.edge.Metrics
import rhubarbspool.edge.ProcessClock
import rhubarbspool.traffic.CallerBounds
import rhubarbspool.traffic.LeavingServer
import java.util.concurrent.CompletableFuture

/** One entry process. */
class EntryDaemon(
    private val settings: EntrySettings,
    private val platform: Platform,
    private val group: EventLoopGroup,
) : Daemon {
    private val loop = group.next()
    private val log = DecisionLog(ProcessClock::monotonic)
    private val metrics = Metrics()
    private val state = EntryState(platform.decoder, log)
    private val context = ProcessContext(settings, state, loop, log, EntryMetrics(metrics), ProcessClock::now)
    private val pools = PoolService(context)
    private val transport = PeerTransport(group, log)
    private val coordinator = CoordinatorRunner(context, platform.table, platform.orders)
    private val source: RowSource = RowSource(context, transport, platform.table) {
        pools.tick(context.clock())
        flow.onServersChanged()
    }
    private val events = object : PeerEvents {
        override fun onFeedVersions(versions: FeedVersions) =
            Feed.entries.filter { versions.of(it) > state.rows(it).newestVersion }
                .forEach { source.onNewerVersion(it, versions.of(it)) }

        override fun onLoad(load: LoadMessage) = coordinator.recordLoad(load)

        override fun onServerLeaving(server: LeavingServer) {
            state.recordLeaving(server, "instance")
        }
    }
    private val hub = PeerHub(context, pools, transport, events)
    private val memberRow = MemberRow(context, platform.table)
    private val sweep = MemberSweep(context, hub.probes, platform.table)
    private val links = ServerConnections(group, context::clock, context::onDisorder)
    private val load = LoadCounter(state)
    private val requests = RequestContext(context, platform.headers, hub, links, load)
    private val flow = RequestFlow(requests) { source.isConfigurationBehind }
    private val callers = CallerServer(group, context, flow)
    private val serverChannels = ArrayList<Channel>()
    private val bounds: CallerBounds get() = state.configuration?.bounds ?: CallerBounds()
    private val guard = object : ClientGuard {
        override val limits: HttpLimits
            get() = HttpLimits(OBSERVATION_BODY_BYTES, bounds.headerMilliseconds, bounds.idleMilliseconds)

        override fun onExcess(address: String, reason: String) = log.disconnected(address, reason)
    }

    /** Starts to listen and to read the platform's rows. */
    fun start() {
        serverChannels += PeerServer(context, transport, pools, source.subscribers, events).listen()
        serverChannels += HttpService(group, guard, HealthAndMetricsHandler(metrics, ::isReady))
            .listen(settings.metrics)
        serverChannels += HttpService(group, guard) { CompletableFuture.completedFuture(readiness(it.path)) }
            .listen(settings.readiness)
        serverChannels += callers.listen()
        val tasks = context.tasks
        loop.execute {
            tasks.guarded("start") { source.start() }
            tasks.repeat("member", IDLE_TICK_MILLISECONDS, memberRow::maintain)
            tasks.repeat("tick", TICK_MILLISECONDS) { if (tick()) TICK_MILLISECONDS else IDLE_TICK_MILLISECONDS }
            tasks.repeat("report", REPORT_MILLISECONDS) {
                load.flush { instance, message -> hub.sendLoad(instance, message, context.clock()) }
                REPORT_MILLISECONDS
            }
            tasks.repeat("idle", IDLE_CHECK_MILLISECONDS) {
                links.closeIdle()
                callers.closeExcessive(bounds)
                state.configuration?.let { callers.closeIdle(it.bounds.idleMilliseconds * IDLE_PERCENT / PERCENT) }
                IDLE_CHECK_MILLISECONDS
            }
        }
        log.event(
            "started",
            "instance" to settings.instance,
            "domain" to settings.domain,
            "callers" to settings.callers,
            "archive" to System.getProperty("java.vm.info"),
        )
    }

    /** Applies those settings of [next] that may change while the process runs. */
    fun reload(next: EntrySettings) {
        context.tasks.execute("reload") { context.reload(next) }
    }

    /**
     * Planned stop: reports not ready, serves callers until the platform has removed this instance from rotation, and
     * then closes idle connections until no request is in flight or the stop time has passed. Requests that would not
     * end by then are refused. At the end all connections are closed, however long the process takes to exit.
     */
    override fun stop() {
        log.event("stopping", "instance" to settings.instance, "connections" to callers.connectionCount)
        val now = context.clock()
        val stop = PlannedStop(now, now + settings.stopMilliseconds)
        loop.submit {
            flow.beginStop(stop)
            coordinator.stop()
            memberRow.leave()
        }.get()
        waitUntil(stop.leftRotationAt) { false }
        waitUntil(stop.endsAt) {
            loop.submit<Boolean> { callers.closeIdle(STOPPING_IDLE_MILLISECONDS) && flow.endIfIdle() }.get()
        }
        val open = loop.submit<Int> { flow.inFlight.also { callers.close() } }.get()
        log.event("stopped", "instance" to settings.instance, "open" to open)
    }

    private fun readiness(path: String): HttpAnswer {
        val ready = path.substringBefore('?') == platform.readyPath && isReady()
        return HttpAnswer(if (ready) OK else UNAVAILABLE, emptyMap(), "")
    }

    private fun isReady(): Boolean =
        !flow.isStopping && state.configuration != null && state.rows(Feed.SERVERS).version != null

    /** Makes the decisions that are due; returns whether more may be due soon. */
    private fun tick(): Boolean {
        val now = context.clock()
        val tasks = context.tasks
        tasks.guarded("expire") { if (state.expire(now)) flow.onServersChanged() }
        tasks.guarded("pools") { pools.tick(now) }
        tasks.guarded("hub") { hub.tick(now) }
        tasks.guarded("source") { source.tick(now) }
        tasks.guarded("sweep") { sweep.tick(now) }
        tasks.guarded("coordinator") { coordinator.tick() }
        return pools.hasWaiting || coordinator.isCoordinating
    }

    private fun waitUntil(end: Long, condition: () -> Boolean) {
        while (context.clock() < end && !condition()) Thread.sleep(POLL_MILLISECONDS)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** Requests for readiness and metrics have no bodies. */
        const val OBSERVATION_BODY_BYTES = 0

        /** Interval of all decisions that depend on time alone. */
        const val TICK_MILLISECONDS = 20L

        /** The same while no request waits here and no keys are coordinated. */
        const val IDLE_TICK_MILLISECONDS = 100L

        /** Interval of load reports; a hot key is detected from two of them. */
        const val REPORT_MILLISECONDS = 300L
        const val IDLE_CHECK_MILLISECONDS = 500L
        const val POLL_MILLISECONDS = 20L

        /** Idle time after which a connection is closed while stopping. */
        const val STOPPING_IDLE_MILLISECONDS = 700L

        /** Callers reuse connections for 80 % of the idle limit, so closing at slightly over 100 % hits none in use. */
        const val IDLE_PERCENT = 110
        const val PERCENT = 100
    }
}
