/*
 * Detects what changed in the router's view.
 */
package rhubarbspool.router

import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/**
 * Parts of a view that changed.
 *
 * @property placement rows or the set of gates held here changed, so that requests waiting for a gate may be retried.
 * @property releases the controller has ordered a new release and waits for it.
 */
internal data class ViewDelta(val configurations: Boolean, val placement: Boolean, val releases: Boolean)

/** Compares a view with its previous state. */
internal class ViewChanges {
    private var configurations: Map<ServiceName, VersionedConfiguration>? = null
    private var rows = -1L
    private var gates = emptySet<ServerName>()
    private var releases = emptySet<Long>()

    /** What changed in [view] since the last call. */
    fun detect(view: RouterView): ViewDelta {
        val releaseOrders = view.releases.values.toSet() + view.gates.values.map { it.releaseOrder }.filter { it != 0L }
        val delta = ViewDelta(
            configurations = view.configurations !== configurations,
            placement = view.rows.changes != rows || view.gates.keys != gates,
            releases = !releases.containsAll(releaseOrders),
        )
        configurations = view.configurations
        rows = view.rows.changes
        gates = view.gates.keys
        releases = releaseOrders
        return delta
    }
}
