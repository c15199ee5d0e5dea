/*
 * State that this router receives from its controller: a copy of the shared rows, the configurations in force, and
 * the leases of its gates.
 */
package rhubarbspool.router

import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.edge.toVersionedRow
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.protocol.RouterOrders
import rhubarbspool.routing.RouteTable
import rhubarbspool.table.RowTable

/** A gate that this router may use until [leaseUntil], in monotonic milliseconds of this process. */
internal data class GateLease(
    val server: ServerName,
    val epoch: Long,
    val leaseUntil: Long,
    val releaseOrder: Long,
    val suspectUntilWall: Long,
)

/** A configuration and its version. */
internal data class VersionedConfiguration(val version: Long, val configuration: ServiceConfiguration)

/** The router's copy of shared state; changed only by [apply]. */
internal class RouterView {
    val rows: RowTable = RowTable()
    val draining: DrainWatch = DrainWatch(rows)
    var configurations: Map<ServiceName, VersionedConfiguration> = emptyMap()
        private set
    var routes: RouteTable = RouteTable(emptyMap())
        private set
    var gates: Map<ServerName, GateLease> = emptyMap()
        private set
    var releases: Map<String, Long> = emptyMap()
        private set
    var completeRevision: Long = 0
        private set
    var controllerRun: Long = 0
        private set
    var sequence: Long = 0
        private set
    var unrecordedAllowed: Boolean = false
        private set
    var phase: String = ""
        private set

    /** The configuration of [service] in force here. */
    fun configuration(service: ServiceName): ServiceConfiguration? = configurations[service]?.configuration

    /** Applies [orders], which respond to a report sent at [requestedAt]; remaining lease times count from then. */
    fun apply(orders: RouterOrders, requestedAt: Long) {
        orders.rowsList.forEach { rows.merge(it.toVersionedRow()) }
        controllerRun = orders.controllerRun
        sequence = orders.viewSequence
        completeRevision = orders.completeRevision
        unrecordedAllowed = orders.unrecordedAllowed
        phase = orders.phase
        releases = orders.releaseShardsList.associate { it.subject to it.order }
        gates = orders.gatesList.associate { order ->
            val server = ServerName(order.server)
            val until = requestedAt + order.remainingMilliseconds
            server to GateLease(server, order.epoch, until, order.releaseOrder, order.suspectUntilMilliseconds)
        }
        if (orders.configurationsCount > 0) applyConfigurations(orders)
    }

    private fun applyConfigurations(orders: RouterOrders) {
        val next = configurations.toMutableMap()
        orders.configurationsList.forEach { message ->
            val currentVersion = next[ServiceName(message.service)]?.version ?: 0
            ConfigurationReader.read(message.body.toStringUtf8()).getOrNull()
                ?.takeIf { message.version > currentVersion }
                ?.let { next[it.service] = VersionedConfiguration(message.version, it) }
        }
        configurations = next
        routes = RouteTable(next.mapValues { it.value.configuration })
    }
}
