/*
 * What changed in the router's view since it was last looked at.
 */
package rhubarbspool.router

import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/**
 * News in a view.
 *
 * @property placement rows or the set of gates held here changed: what waits for a gate may be tried again.
 * @property releases the controller waits for something new to be released.
 */
internal data class ViewDelta(val configurations: Boolean, val placement: Boolean, val releases: Boolean)

/** Remembers what was seen. */
internal class ViewChanges {
    private var configurations: Map<ServiceName, VersionedConfiguration>? = null
    private var rows = -1L
    private var gates = emptySet<ServerName>()
    private var releases = emptySet<Long>()

    /** What is new in [view] since the last call. */
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
