/*
 * The controller process. A single event loop runs the decision code at each tick, executes the resulting effects,
 * and serves requests of peer controllers, of the router of the same instance, and of operators.
 */
package rhubarbspool.controller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import rhubarbspool.control.ControlNode
import rhubarbspool.control.Phase
import rhubarbspool.edge.Channels
import rhubarbspool.edge.Daemon
import rhubarbspool.edge.DaemonSettings
import rhubarbspool.edge.HealthAndMetricsHandler
import rhubarbspool.edge.HttpClient
import rhubarbspool.edge.HttpObjectStore
import rhubarbspool.edge.HttpService
import rhubarbspool.edge.HttpTableClient
import rhubarbspool.edge.Metrics
import rhubarbspool.edge.ProcessClock
import rhubarbspool.lease.LeaseTimes
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Controller of one instance, configured by [settings]. */
class ControllerDaemon(private val settings: DaemonSettings, times: LeaseTimes = LeaseTimes()) : Daemon {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val random = Random(System.nanoTime())
    private val node = ControlNode(settings.identity, times, random)
    private val http = HttpClient(group, PLATFORM_TIMEOUT_MILLISECONDS)
    private val table = HttpTableClient(http, settings.platform.table)
    private val objects = ObjectCache(HttpObjectStore(http, settings.platform.objects))
    private val channels = Channels(group, keepAlive = false)
    private val effectRunner = EffectRunner(node, loop, table, objects, PeerClient(channels, node.state), ::tick)
    private val localService = LocalService(node, random.nextLong(), ::tick)
    private val transportWatch = TransportWatch { localService.onConnectionEnded(it) }
    private val metrics = Metrics()
    private val gauges = ControllerGauges(metrics)
    private val leaveCompletion = CompletableFuture<Unit>()
    private lateinit var server: Server
    private lateinit var observationChannel: Channel

    /** Starts the gRPC server and the health and metrics endpoint, and schedules the ticks. */
    fun start() {
        val identity = settings.identity
        server = NettyServerBuilder.forAddress(InetSocketAddress(identity.controller.host, identity.controller.port))
            .bossEventLoopGroup(group).workerEventLoopGroup(group).channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .maxInboundMessageSize(Channels.MAXIMUM_MESSAGE_BYTES)
            .addTransportFilter(transportWatch)
            .intercept(transportWatch)
            .addService(PeerService(node, objects, localService))
            .addService(localService)
            .build().start()
        observationChannel = HttpService(group, HealthAndMetricsHandler(metrics) { node.state.phase == Phase.JOINED })
            .listen(settings.controllerObservation)
        loop.scheduleWithFixedDelay(::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS)
        logger.atInfo {
            message = "controller started"
            payload = mapOf("instance" to identity.instance.text, "domain" to identity.domain.text)
        }
    }

    /**
     * Hands over all gates and leaves the system, then shuts down. After the drain time of the settings it shuts down
     * anyway.
     */
    override fun stop() {
        loop.execute { node.leave() }
        try {
            leaveCompletion.get(settings.drainMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            logger.warn { "planned stop timed out; the leases will expire" }
        }
        server.shutdownNow()
        observationChannel.close()
        channels.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun tick() {
        val now = ProcessClock.now()
        runSafely {
            effectRunner.run(node.tick(now))
            localService.pushChanges()
        }
        gauges.update(node, table, now)
        if (node.state.phase == Phase.LEFT && !leaveCompletion.isDone) {
            loop.schedule({ leaveCompletion.complete(Unit) }, LEAVE_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun runSafely(action: () -> Unit) {
        try {
            action()
        } catch (exception: RuntimeException) {
            logger.error(exception) { "controller tick failed" }
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 30L
        const val PLATFORM_TIMEOUT_MILLISECONDS = 2_000L
        const val LEAVE_DELAY_MILLISECONDS = 200L
    }
}
