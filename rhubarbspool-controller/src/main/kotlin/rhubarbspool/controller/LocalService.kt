/*
 * Answers the router of the same instance: what it may do, and every row and configuration that changed since
 * its last question. A lease is given as time left, which the router counts from when it asked, so the two
 * processes compare no clocks.
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

/** The local service of the controller process numbered [run]. */
internal class LocalService(
    private val node: ControlNode,
    private val run: Long,
    private val changed: () -> Unit,
) : LocalGrpc.LocalImplBase() {
    private var askedAt: Long? = null
    private var stream: RouterStream? = null

    /** Whether the router has asked lately. */
    fun isConnected(now: Now): Boolean = askedAt?.let { now.monotonic - it < CONNECTED_MILLISECONDS } ?: false

    override fun synchronise(observer: StreamObserver<RouterOrders>): StreamObserver<RouterReport> =
        RouterStream(observer, TransportWatch.NUMBER.get()).also { stream = it }

    /** The connection numbered [connection] has ended. */
    fun connectionEnded(connection: Long) {
        if (stream?.connection != connection) return
        stream = null
        node.router.onRouterStopped()
        changed()
    }

    /** Sends orders at once when something changed since the last ones. */
    fun pushChanges() {
        val open = stream ?: return
        val now = ProcessClock.now()
        if (open.isStale(now)) open.send(now)
    }

    /** The connection to one router process. */
    private inner class RouterStream(
        private val observer: StreamObserver<RouterOrders>,
        val connection: Long,
    ) : StreamObserver<RouterReport> {
        private var report = RouterReport.getDefaultInstance()
        private var reportedAt = 0L
        private var sentAll = false
        private var sentRows = -1L
        private var sentOrders: Orders? = null

        override fun onNext(message: RouterReport) {
            val now = ProcessClock.now()
            askedAt = now.monotonic
            val news = newsOf(message)
            node.router.report(news, now)
            if (!sentAll) report = message
            reportedAt = message.askedAt
            if (news.releasedGates.isNotEmpty() || news.releasedShards.isNotEmpty()) changed()
            send(now)
        }

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit

        /** Whether rows, releases or the set of gates changed since the last orders. */
        fun isStale(now: Now): Boolean {
            val current = node.router.orders(now)
            val sameGates = current.gates.map { it.server to it.releaseOrder } ==
                sentOrders?.gates?.map { it.server to it.releaseOrder }
            val sameReleases = current.releases == sentOrders?.releases
            return sentAll && (sentRows != node.state.rows.changes || !sameGates || !sameReleases)
        }

        fun send(now: Now) {
            val orders = node.router.orders(now)
            sentOrders = orders
            observer.onNext(message(report, orders, now).setAskedAt(reportedAt).build())
            sentRows = node.state.rows.changes
            report = upToDate()
            sentAll = true
        }

        /** A report as the router will send it once it has what was just sent; the stream loses nothing. */
        private fun upToDate(): RouterReport = RouterReport.newBuilder()
            .setControllerRun(run)
            .setViewSequence(sentRows)
            .addAllConfigurations(
                node.state.configurations.map { (service, inForce) ->
                    ConfigurationInForce.newBuilder().setService(service.text).setVersion(inForce.number).build()
                },
            )
            .build()
    }

    private fun message(report: RouterReport, orders: Orders, now: Now): RouterOrders.Builder {
        val rows = node.state.rows
        val full = report.controllerRun != run
        return RouterOrders.newBuilder()
            .setControllerRun(run)
            .setViewSequence(rows.changes)
            .setFull(full)
            .addAllRows(rows.changedSince(if (full) 0 else report.viewSequence).map { it.toMessage() })
            .addAllGates(orders.gates.map(::gateMessage))
            .addAllReleaseShards(orders.releases.map(::releaseMessage))
            .addAllConfigurations(configurations(report, full))
            .setCompleteRevision(node.state.completeRevision)
            .setUnrecordedAllowed(node.router.unrecordedAllowed(now))
            .setPhase(node.state.phase.name)
    }

    private fun configurations(report: RouterReport, full: Boolean): List<ConfigurationMessage> {
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

    private fun gateMessage(order: rhubarbspool.control.GateOrder): GateOrder = GateOrder.newBuilder()
        .setServer(order.server.text)
        .setEpoch(order.epoch)
        .setRemainingMilliseconds(order.remainingMilliseconds)
        .setReleaseOrder(order.releaseOrder)
        .setSuspectUntilMilliseconds(order.suspectUntilMilliseconds)
        .build()

    private fun releaseMessage(order: ReleaseOrder): Release =
        Release.newBuilder().setSubject(order.subject).setOrder(order.order).build()

    private fun newsOf(report: RouterReport) = RouterStatus(
        releasedGates = report.releasedGatesList.map { ReleaseOrder(it.subject, it.order) },
        releasedShards = report.releasedShardsList.map { ReleaseOrder(it.subject, it.order) },
        reachable = report.serversList.associate { ServerName(it.server) to it.reachable },
        crashes = report.crashesList.map { CrashNotice(ServiceName(it.service), it.fingerprint) },
        hotKeys = report.hotKeysList.map { HotKey(ServiceName(it.service), it.key, ServerName(it.server)) },
        unrecordedRuns = report.unrecordedRuns,
        leaving = report.leaving,
    )

    private companion object {
        const val CONNECTED_MILLISECONDS = 1_000L
    }
}
