/*
 * gRPC service for the router of the same instance. Sends its permissions, and the rows and configurations that changed
 * since the state in its last report. The remaining time of a lease is sent as a duration, which the router counts from
 * the time at which it sent its report, so the clocks of the two processes are never compared.
 */
package rhubarbspool.controller

import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import rhubarbspool.configuration.ConfigurationWriter
import rhubarbspool.control.ControlNode
import rhubarbspool.control.CrashNotice
import rhubarbspool.control.HotKey
import rhubarbspool.control.Orders
import rhubarbspool.control.ReleaseOrder
import rhubarbspool.control.RouterStatus
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.toMessage
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.protocol.ConfigurationInForce
import rhubarbspool.protocol.GateOrder
import rhubarbspool.protocol.LocalGrpc
import rhubarbspool.protocol.Release
import rhubarbspool.protocol.RouterOrders
import rhubarbspool.protocol.RouterReport
import rhubarbspool.protocol.ConfigurationDocument as ConfigurationMessage

/**
 * Serves the local router. [controllerRun] identifies this controller process, so that a router that was connected to
 * an earlier one is sent all rows and configurations.
 */
internal class LocalService(
    private val node: ControlNode,
    private val controllerRun: Long,
    private val requestTick: () -> Unit,
) : LocalGrpc.LocalImplBase() {
    private var lastReportAt: Long? = null
    private var routerStream: RouterStream? = null

    /** Whether a report of the router arrived within [CONNECTED_TIMEOUT_MILLISECONDS]. */
    fun isConnected(now: Now): Boolean =
        lastReportAt?.let { now.monotonic - it < CONNECTED_TIMEOUT_MILLISECONDS } ?: false

    override fun synchronise(observer: StreamObserver<RouterOrders>): StreamObserver<RouterReport> =
        RouterStream(observer, TransportWatch.CONNECTION_NUMBER.get()).also { routerStream = it }

    /** Reports the router as stopped if [connection] is the number of its connection, which has ended. */
    fun onConnectionEnded(connection: Long) {
        if (routerStream?.connection != connection) return
        routerStream = null
        node.router.onRouterStopped()
        requestTick()
    }

    /** Sends orders without waiting for the next report if they changed since they were last sent. */
    fun pushChanges() {
        val open = routerStream ?: return
        val now = ProcessClock.now()
        if (open.isStale(now)) open.send(now)
    }

    /** Report and order stream of one router process on the connection numbered [connection]. */
    private inner class RouterStream(
        private val observer: StreamObserver<RouterOrders>,
        val connection: Long,
    ) : StreamObserver<RouterReport> {
        private var baseReport = RouterReport.getDefaultInstance()
        private var routerAskedAt = 0L
        private var hasSent = false
        private var sentViewSequence = -1L
        private var sentOrders: Orders? = null

        override fun onNext(message: RouterReport) {
            val now = ProcessClock.now()
            lastReportAt = now.monotonic
            val status = statusOf(message)
            node.router.report(status, now)
            if (!hasSent) baseReport = message
            routerAskedAt = message.askedAt
            if (status.releasedGates.isNotEmpty() || status.releasedShards.isNotEmpty()) requestTick()
            send(now)
        }

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit

        /** Whether rows, releases, the set of gates or their release orders changed since the last orders were sent. */
        fun isStale(now: Now): Boolean {
            val current = node.router.orders(now)
            val sameGates = current.gates.map { it.server to it.releaseOrder } ==
                sentOrders?.gates?.map { it.server to it.releaseOrder }
            val sameReleases = current.releases == sentOrders?.releases
            return hasSent && (sentViewSequence != node.state.rows.changes || !sameGates || !sameReleases)
        }

        fun send(now: Now) {
            val orders = node.router.orders(now)
            sentOrders = orders
            observer.onNext(buildOrders(baseReport, orders, now).setAskedAt(routerAskedAt).build())
            sentViewSequence = node.state.rows.changes
            baseReport = reportAfterSend()
            hasSent = true
        }

        /** The report that the router will send after these orders; the stream does not lose messages. */
        private fun reportAfterSend(): RouterReport = RouterReport.newBuilder()
            .setControllerRun(controllerRun)
            .setViewSequence(sentViewSequence)
            .addAllConfigurations(
                node.state.configurations.map { (service, inForce) ->
                    ConfigurationInForce.newBuilder().setService(service.text).setVersion(inForce.number).build()
                },
            )
            .build()
    }

    private fun buildOrders(report: RouterReport, orders: Orders, now: Now): RouterOrders.Builder {
        val rows = node.state.rows
        val full = report.controllerRun != controllerRun
        return RouterOrders.newBuilder()
            .setControllerRun(controllerRun)
            .setViewSequence(rows.changes)
            .setFull(full)
            .addAllRows(rows.changedSince(if (full) 0 else report.viewSequence).map { it.toMessage() })
            .addAllGates(orders.gates.map(::toGateMessage))
            .addAllReleaseShards(orders.releases.map(::toReleaseMessage))
            .addAllConfigurations(newerConfigurations(report, full))
            .setCompleteRevision(node.state.completeRevision)
            .setUnrecordedAllowed(node.router.unrecordedAllowed(now))
            .setPhase(node.state.phase.name)
    }

    private fun newerConfigurations(report: RouterReport, full: Boolean): List<ConfigurationMessage> {
        val known = report.configurationsList.associate { it.service to it.version }
        return node.state.configurations.values
            .filter { full || it.number > (known[it.configuration.service.text] ?: 0) }
            .map { inForce ->
                val text = ConfigurationWriter.write(inForce.configuration)
                ConfigurationMessage.newBuilder()
                    .setService(inForce.configuration.service.text)
                    .setVersion(inForce.number)
                    .setBody(ByteString.copyFromUtf8(text))
                    .build()
            }
    }

    private fun toGateMessage(order: rhubarbspool.control.GateOrder): GateOrder = GateOrder.newBuilder()
        .setServer(order.server.text)
        .setEpoch(order.epoch)
        .setRemainingMilliseconds(order.remainingMilliseconds)
        .setReleaseOrder(order.releaseOrder)
        .setSuspectUntilMilliseconds(order.suspectUntilMilliseconds)
        .build()

    private fun toReleaseMessage(order: ReleaseOrder): Release =
        Release.newBuilder().setSubject(order.subject).setOrder(order.order).build()

    private fun statusOf(report: RouterReport) = RouterStatus(
        releasedGates = report.releasedGatesList.map { ReleaseOrder(it.subject, it.order) },
        releasedShards = report.releasedShardsList.map { ReleaseOrder(it.subject, it.order) },
        reachable = report.serversList.associate { ServerName(it.server) to it.reachable },
        crashes = report.crashesList.map { CrashNotice(ServiceName(it.service), it.fingerprint) },
        hotKeys = report.hotKeysList.map { HotKey(ServiceName(it.service), it.key, ServerName(it.server)) },
        unrecordedRuns = report.unrecordedRuns,
        leaving = report.leaving,
    )

    private companion object {
        const val CONNECTED_TIMEOUT_MILLISECONDS = 1_000L
    }
}
