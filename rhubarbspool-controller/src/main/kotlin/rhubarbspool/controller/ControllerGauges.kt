/*
 * Prometheus metrics of the controller.
 */
package rhubarbspool.controller

import rhubarbspool.control.ControlNode
import rhubarbspool.edge.HttpTableClient
import rhubarbspool.edge.Metrics
import rhubarbspool.model.Now

/** Registers the gauges of one controller with the metrics registry. */
internal class ControllerGauges(metrics: Metrics) {
    private val lease = metrics.gauge("rhubarbspool_lease_valid", "1 while the lease of this instance holds")
    private val gates = metrics.gauge("rhubarbspool_gates", "Gates that this instance may use")
    private val rows = metrics.gauge("rhubarbspool_rows", "Rows in the copy of the table")
    private val tableAge = metrics.gauge("rhubarbspool_table_age_seconds", "Time since the table last answered")
    private val writes = metrics.gauge("rhubarbspool_table_writes", "Transactions sent to the table")
    private val reads = metrics.gauge("rhubarbspool_table_reads", "Reads sent to the table")
    private val pending = metrics.gauge("rhubarbspool_pending_writes", "Transactions whose outcome is not known yet")
    private var lastUpdateAt = Long.MIN_VALUE / 2

    /** Sets all gauges to their current values, at most once a second. */
    fun update(node: ControlNode, table: HttpTableClient, now: Now) {
        if (now.monotonic - lastUpdateAt < UPDATE_INTERVAL_MILLISECONDS) return
        lastUpdateAt = now.monotonic
        lease.set(if (node.router.leaseValid(now)) 1.0 else 0.0)
        gates.set(node.router.orders(now).gates.size.toDouble())
        rows.set(node.state.rows.size.toDouble())
        tableAge.set(node.state.lastTableResponseAt?.let { (now.monotonic - it) / MILLISECONDS_PER_SECOND } ?: -1.0)
        writes.set(table.writes.get().toDouble())
        reads.set(table.reads.get().toDouble())
        pending.set(node.state.pendingWriteCount.toDouble())
    }

    private companion object {
        const val UPDATE_INTERVAL_MILLISECONDS = 1_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
