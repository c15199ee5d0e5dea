/*
 * The gates of this process: one for each backend server whose gate it holds, or held and still has runs of.
 */
package rhubarbspool.router

import rhubarbspool.gate.CrashSuspects
import rhubarbspool.model.ServerName
import rhubarbspool.protocol.CrashReport
import rhubarbspool.protocol.HotKeyReport
import rhubarbspool.protocol.Release
import rhubarbspool.protocol.RouterReport
import rhubarbspool.protocol.ServerReport
import rhubarbspool.table.QuarantineBody
import rhubarbspool.table.quarantines

/** Gates of one router by server. */
internal class GateTable(private val context: RouterContext) {
    private val hosts = HashMap<ServerName, GateHost>()
    private var lastRowChanges = -1L

    /** The gate of [server], or null when this router does not host it. */
    operator fun get(server: ServerName): GateHost? = hosts[server]

    /** Whether no gate has requests or runs left. */
    val isIdle: Boolean get() = hosts.values.all { it.isIdle }

    /** Opens gates with a new lease, ticks all gates, and removes idle ones without a lease. */
    fun tick(now: Long) {
        val leases = context.view.gates
        leases.keys.filter { it !in hosts }.forEach(::open)
        hosts.forEach { (server, host) -> host.tick(leases[server], now) }
        hosts.entries.removeAll { (server, host) -> server !in leases && host.isIdle }
        updateQuarantines(now)
    }

    /** Applies changed configurations to the gates. */
    fun reconfigure() = hosts.forEach { (server, host) -> configurationOf(server)?.let(host::reconfigure) }

    /** Adds released gates and shards, and the reachability, crashes and hot keys of servers, to [report]. */
    fun report(report: RouterReport.Builder) {
        context.view.gates.values.filter { it.releaseOrder != 0L && hosts[it.server]?.isReleased() != false }.forEach {
            report.addReleasedGates(Release.newBuilder().setSubject(it.server.text).setOrder(it.releaseOrder))
        }
        context.view.releases.filterKeys { subject -> hosts.values.all { it.isShardReleased(subject) } }
            .forEach { (subject, order) ->
                report.addReleasedShards(
                    Release.newBuilder().setSubject(subject).setOrder(order)
                )
            }
        hosts.forEach { (server, host) -> reportServer(report, server, host) }
    }

    private fun reportServer(report: RouterReport.Builder, server: ServerName, host: GateHost) {
        val service = configurationOf(server)?.service?.text ?: return
        host.isAvailable?.let { report.addServers(ServerReport.newBuilder().setServer(server.text).setReachable(it)) }
        host.crashes.forEach { report.addCrashes(CrashReport.newBuilder().setService(service).setFingerprint(it)) }
        host.crashes.clear()
        host.hot.forEach {
            report.addHotKeys(HotKeyReport.newBuilder().setService(service).setKey(it).setServer(server.text))
        }
    }

    private fun open(server: ServerName) {
        val configuration = configurationOf(server) ?: return
        val backend = configuration.server(server) ?: return
        hosts[server] = GateHost(context, backend, configuration)
    }

    private fun configurationOf(server: ServerName) =
        context.view.configurations.values.firstOrNull { it.configuration.server(server) != null }?.configuration

    private fun updateQuarantines(now: Long) {
        val rows = context.view.rows
        if (rows.changes == lastRowChanges) return
        lastRowChanges = rows.changes
        val wall = System.currentTimeMillis()
        rows.quarantines().forEach { applyQuarantine(it, context.suspects(it.service), now, wall) }
    }

    private fun applyQuarantine(row: QuarantineBody, suspects: CrashSuspects, now: Long, wall: Long) {
        if (row.releasedBy != null) return suspects.clear(row.fingerprint)
        val remaining = row.expiresAtMilliseconds - wall
        if (remaining > 0) suspects.mergeReported(row.fingerprint, row.crashes, now + remaining)
    }
}
