/*
 * The router process: HTTP server for callers, the gates that this instance holds, and forwarding between routers, all
 * on one event loop.
 */
package rhubarbspool.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import rhubarbspool.edge.Channels
import rhubarbspool.edge.Daemon
import rhubarbspool.edge.DaemonSettings
import rhubarbspool.edge.HealthAndMetricsHandler
import rhubarbspool.edge.HttpClient
import rhubarbspool.edge.HttpService
import rhubarbspool.edge.HttpTableClient
import rhubarbspool.edge.Metrics
import rhubarbspool.edge.ProcessClock
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Router of one instance. */
class RouterDaemon(private val settings: DaemonSettings) : Daemon {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val view = RouterView()
    private val metrics = Metrics()
    private val run = Random(System.nanoTime()).nextLong().toULong().toString(RADIX)
    private val table = HttpTableClient(HttpClient(group, TABLE_TIMEOUT_MILLISECONDS), settings.platform.table)
    private val recorder = OnceRecorder(loop, table, "${settings.identity.instance}.router.$run")
    private val context = RouterContext(
        settings.identity.instance,
        loop,
        view,
        recorder,
        HttpClient(group, PROBE_TIMEOUT_MILLISECONDS),
        RouterMetrics(metrics),
    )
    private val gates = GateTable(context)
    private val peerChannels = Channels(group, keepAlive = true)
    private val localChannels = Channels(group, keepAlive = false)
    private val forwardService = ForwardService(context, gates)
    private val lag = LoopLag(TICK_MILLISECONDS)
    private val flow = RequestFlow(context, gates, ForwardClient(peerChannels))
    private val admission = CallerAdmission(context, flow, lag)
    private val callers = CallerServer(group, admission, settings.callerConnections)
    private val link =
        ControllerLink(loop, localChannels, settings.identity.controller, view, ::report, ::onOrdersApplied)
    private lateinit var server: Server
    private lateinit var observation: Channel
    private val changes = ViewChanges()

    /** Starts the servers, the ticks and the reports to the controller. */
    fun start() {
        val address = settings.identity.router
        server = NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(group).workerEventLoopGroup(group).channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .permitKeepAliveTime(1, TimeUnit.SECONDS)
            .maxInboundMessageSize(Channels.MAXIMUM_MESSAGE_BYTES)
            .addService(forwardService)
            .build().start()
        observation = HttpService(group, HealthAndMetricsHandler(metrics, ::isReady)).listen(settings.routerObservation)
        callers.listen(settings.callers)
        loop.scheduleWithFixedDelay(::scheduledTick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS)
        loop.execute(link::start)
        logger.atInfo {
            message = "router started"
            payload = mapOf("instance" to settings.identity.instance.text, "callers" to "${settings.callers}")
        }
    }

    /** Stops accepting requests, releases the gates, waits for requests in flight up to the drain time, and ends. */
    override fun stop() {
        admission.isStopping = true
        waitUntil(LAME_DUCK_MILLISECONDS) { false }
        callers.stopListening()
        val finished = waitUntil(settings.drainMilliseconds) { onLoop(::isDone) }
        if (!finished) logger.warn { "planned stop timed out; gates are still held or requests still in flight" }
        callers.closeIdle()
        server.shutdown().awaitTermination(1, TimeUnit.SECONDS)
        server.shutdownNow()
        observation.close()
        peerChannels.close()
        localChannels.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
    }

    private fun isReady(): Boolean = view.configurations.isNotEmpty() && !admission.isStopping

    private fun isDone(): Boolean =
        view.gates.isEmpty() && gates.isIdle && callers.isIdle && forwardService.inFlight == 0

    private fun report(report: rhubarbspool.protocol.RouterReport.Builder) {
        gates.report(report)
        report.setUnrecordedRuns(recorder.hasUnrecordedRuns)
        report.setLeaving(admission.isStopping)
        report.setRouterRun(run)
    }

    private fun onOrdersApplied() {
        val delta = changes.detect(view)
        if (delta.configurations) gates.reconfigure()
        tick()
        if (delta.placement) flow.onRoutingChanged()
        if (delta.releases) loop.execute(link::reportNow)
    }

    private fun scheduledTick() {
        lag.onTick(ProcessClock.monotonic())
        tick()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun tick() {
        try {
            gates.tick(ProcessClock.monotonic())
        } catch (exception: RuntimeException) {
            logger.error(exception) { "router tick failed" }
        }
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit<T> { action() }.get()

    private fun waitUntil(milliseconds: Long, condition: () -> Boolean): Boolean {
        val end = ProcessClock.monotonic() + milliseconds
        while (ProcessClock.monotonic() < end) {
            if (condition()) return true
            Thread.sleep(POLL_MILLISECONDS)
        }
        return false
    }

    private companion object {
        const val RADIX = 36
        const val TICK_MILLISECONDS = 10L
        const val POLL_MILLISECONDS = 20L
        const val LAME_DUCK_MILLISECONDS = 500L
        const val TABLE_TIMEOUT_MILLISECONDS = 1_000L
        const val PROBE_TIMEOUT_MILLISECONDS = 300L
    }
}
