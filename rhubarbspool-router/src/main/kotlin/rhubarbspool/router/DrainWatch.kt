/*
 * Records since when a backend server is ordered to drain, by this process's monotonic clock.
 */
package rhubarbspool.router

import rhubarbspool.configuration.BackendServer
import rhubarbspool.model.ServerName
import rhubarbspool.table.DrainBody
import rhubarbspool.table.DrainKind
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.body

/** Remembers when a drain order for a server first appeared in [rows]. */
internal class DrainWatch(private val rows: RowTable) {
    private val since = HashMap<ServerName, Long>()

    /** Since when [server] or its failure domain is ordered to drain; null when neither is. */
    fun since(server: BackendServer, now: Long): Long? {
        val ordered = isDraining(DrainKind.SERVER, server.name.text) || isDraining(DrainKind.DOMAIN, server.domain.text)
        if (!ordered) since.remove(server.name)
        return if (ordered) since.getOrPut(server.name) { now } else null
    }

    private fun isDraining(kind: DrainKind, name: String): Boolean =
        rows.body<DrainBody>(RowKeys.drain(kind, name))?.draining ?: false
}
