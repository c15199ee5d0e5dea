/*
 * Coordinates the ownership of keys while this instance holds the coordinator lease.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.OwnershipView

/** Runs the ownership coordinators of all sharded services. */
internal class CoordinatorRunner(
    private val context: ProcessContext,
    private val table: PlatformTable,
    private val orders: OwnershipOrders,
) {
    private val lease = LeaseRunner(context, table)
    private val runners = HashMap<ServiceName, OwnershipRunner>()
    private var wasHeld = false
    private var isStopped = false

    /** Whether this instance coordinated at the last tick. */
    val isCoordinating: Boolean get() = wasHeld

    /** Advances the lease and, while it is held, the coordinator of each sharded service. */
    fun tick() {
        val now = context.now()
        val state = context.state
        val isRead = state.rows(Feed.SHARED).version != null && state.rows(Feed.SERVERS).version != null
        if (isStopped || !isRead) return
        if (lease.isInterrupted) runners.clear()
        lease.tick(now)
        val isHeld = lease.isHeld(now)
        if (isHeld != wasHeld) {
            wasHeld = isHeld
            val (holder, version) = lease.knownHolder
            context.log.belief("coordinator", "held" to isHeld, "holder" to holder, "version" to version)
        }
        if (isHeld) tickServices(now)
    }

    /** Releases the lease at a planned stop; this instance does not coordinate again. */
    fun stop() {
        isStopped = true
        wasHeld = false
        runners.clear()
        lease.stop(context.now())
    }

    /** Records the load of a service that an instance reported. */
    fun recordLoad(report: LoadMessage) {
        runners[ServiceName(report.service)]?.recordLoad(report)
    }

    private fun tickServices(now: Now) {
        val services = context.state.configuration?.services?.values.orEmpty().filter { it.sharded }
        services.forEach { service ->
            runners.getOrPut(service.name) { OwnershipRunner(service, context, table, orders) }
                .tick(view(service.name, now), now)
        }
    }

    private fun view(service: ServiceName, now: Now) = OwnershipView(
        context.state.directory.all.filter { it.service == service },
        context.state.directory.all.associateBy { it.address },
        context.state.directory.evacuated.toSet(),
        lease.isTableUnavailable(now),
    )
}
