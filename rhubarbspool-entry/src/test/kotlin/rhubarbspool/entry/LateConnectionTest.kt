/*
 * A connection to a server may be established only after the deadline of the request that waits for it, also since the
 * process was suspended meanwhile. The request must not be sent any more, and its caller is told so.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponse
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.edge.Metrics
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.LeavingServer
import rhubarbspool.traffic.RequestKind
import rhubarbspool.traffic.ServerState
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficService
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private data class ConnectCase(val what: String, val milliseconds: Long, val isSent: Boolean, val status: Int?)

/** An instance whose connections to a server take as long as a test says. */
private class SlowConnection : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val listening = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val address = Address("127.0.0.1", listening.localPort)
    private val domain = FailureDomainName("east")
    private val clock = AtomicLong(50_000)
    private val log = DecisionLog { 0 }
    private val state = EntryState({ _, _, _ -> null }, log)
    private val settings = EntrySettings(
        InstanceName("a"), domain, listOf(domain), processorPercent = 0, callers = address, readiness = address,
        peers = address, metrics = address, stopMilliseconds = 1_000, retryRatio = 0.2, retrySlack = 1,
        retryWindowMilliseconds = 1_000,
    )
    private val context =
        ProcessContext(settings, state, group.next(), log, EntryMetrics(Metrics())) { Now(clock.get()) }
    private val events = object : PeerEvents {
        override fun onFeedVersions(versions: FeedVersions) = Unit
        override fun onLoad(load: LoadMessage) = Unit
        override fun onServerLeaving(server: LeavingServer) = Unit
    }
    private val hub = PeerHub(context, PoolService(context), PeerTransport(group, log), events)
    private val names =
        HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")
    private val connections = ServerConnections(group, context::clock, context::onDisorder)
    private val requests = RequestContext(context, names, hub, connections, LoadCounter(state))
    private val caller = EmbeddedChannel()
    private val turn = CallerTurn(caller, keepAlive = true, { false }) {}.also { it.activate() }

    /** Sends a booking over a connection that is established after [milliseconds]; returns whether it arrived. */
    fun send(milliseconds: Long): Boolean {
        val booking = CallerRequest("POST", "/x", DefaultHttpHeaders(), ByteArray(0), clock.get())
        val route = TrafficRoute("r", "h", "/", RequestKind.UNSAFE, TIMEOUT, TIMEOUT, 1, emptyList(), 1)
        val service = TrafficService(ServiceName("desk"), "/healthz", 1, null, sharded = false)
        val request = RequestState(requests, "a", booking, route, service, turn.executions)
        val entry = BackendEntry(ServerName("s"), 1, service.name, address, domain, 1, ServerState.READY, 0)
        val ask = PendingSlotRequest(1, PoolName("desk", "east"), InstanceName("a"), null, hub)
        val end = RequestEnd(requests, request, turn) {}
        val listener = object : CallListener {
            override fun onCallFailed(outcome: CallOutcome) = Unit
            override fun tryRetryAfterFault() = false
            override fun onStreamStarted() = Unit
        }
        context.loop.submit {
            ServerCall(requests, request, Permit(requests, ask), entry, end, listener).start()
            clock.addAndGet(milliseconds)
        }.get()
        return listening.accept().use {
            it.soTimeout = ARRIVAL
            try {
                it.getInputStream().read() >= 0
            } catch (_: SocketTimeoutException) {
                false
            }
        }
    }

    /** The status that the caller was sent, if any. */
    fun status(): Int? = context.loop.submit<Int?> { caller.readOutbound<HttpResponse>()?.status()?.code() }.get()

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
        listening.close()
    }
}

class LateConnectionTest : FunSpec({
    // Guards against a booking that a server gets after its deadline, with no time left.
    withData<ConnectCase>(
        { it.what },
        ConnectCase("a connection just before the deadline", TIMEOUT - 1, isSent = true, status = null),
        ConnectCase("a connection at the deadline", TIMEOUT, isSent = false, status = 503),
        ConnectCase("a connection long after the deadline", 5_000, isSent = false, status = 503),
    ) { case ->
        SlowConnection().use { connection ->
            connection.send(case.milliseconds) shouldBe case.isSent
            connection.status() shouldBe case.status
        }
    }
})

private const val TIMEOUT = 300L

/** Milliseconds in which a request that was sent arrives. */
private const val ARRIVAL = 2_000
