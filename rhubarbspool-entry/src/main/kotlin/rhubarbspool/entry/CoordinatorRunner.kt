/*
 * Coordinates the ownership of keys while this instance holds the coordinator's lease.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.OwnershipView

/** Runs the coordination of all sharded services. */
internal class CoordinatorRunner(
    private val context: ProcessContext,
    private val table: PlatformTable,
    private val orders: OwnershipOrders,
) {
    private val lease = LeaseKeeper(context, table)
    private val running = HashMap<ServiceName, OwnershipRunner>()
    private var held = false

    /** Takes the next steps. */
    fun tick() {
        val now = context.now()
        val state = context.state
        if (state.rows(Feed.SHARED).version == null || state.rows(Feed.SERVERS).version == null) return
        if (lease.isInterrupted) running.clear()
        lease.tick(now)
        val holds = lease.isHeld(now)
        if (holds != held) {
            held = holds
            val (holder, version) = lease.seen
            context.log.belief("coordinator", "held" to holds, "holder" to holder, "version" to version)
        }
        if (holds) coordinate(now)
    }

    /** Gives the lease up for a planned stop. */
    fun stop() {
        if (!held) return
        held = false
        running.clear()
        lease.release()
    }

    /** Takes in what an instance saw of a service's load. */
    fun loaded(report: LoadMessage) {
        running[ServiceName(report.service)]?.loaded(report)
    }

    private fun coordinate(now: Now) {
        val services = context.state.configuration?.services?.values.orEmpty().filter { it.sharded }
        services.forEach { service ->
            running.getOrPut(service.name) { OwnershipRunner(service, context, table, orders) }
                .tick(view(service.name, now), now)
        }
    }

    private fun view(service: ServiceName, now: Now) = OwnershipView(
        context.state.directory.all.filter { it.service == service },
        context.state.directory.all.associateBy { it.address },
        context.state.directory.evacuated.toSet(),
        lease.isTroubled(now),
    )
}
