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
import rhubarbspool.control.ReleaseOrder
import rhubarbspool.control.RouterNews
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.toMessage
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
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

    /** Whether the router has asked lately. */
    fun isConnected(now: Now): Boolean = askedAt?.let { now.monotonic - it < CONNECTED_MILLISECONDS } ?: false

    override fun synchronise(report: RouterReport, observer: StreamObserver<RouterOrders>) {
        val now = ProcessClock.now()
        askedAt = now.monotonic
        val news = newsOf(report)
        node.router.report(news, now)
        if (news.releasedGates.isNotEmpty() || news.releasedShards.isNotEmpty()) changed()
        observer.reply(orders(report, now))
    }

    private fun orders(report: RouterReport, now: Now): RouterOrders {
        val rows = node.state.rows
        val full = report.controllerRun != run
        val orders = node.router.orders(now)
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
            .build()
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

    private fun newsOf(report: RouterReport) = RouterNews(
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
