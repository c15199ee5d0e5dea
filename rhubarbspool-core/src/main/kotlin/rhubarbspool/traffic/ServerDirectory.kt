/*
 * The backend servers that this instance knows of. Entries that lapse around an outage of the platform's table are
 * kept for a moment after its return, since living servers register again then.
 */
package rhubarbspool.traffic

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** A copy of the platform's server entries. All times are monotonic milliseconds. */
class ServerDirectory {
    private val entries = HashMap<ServerName, BackendEntry>()
    private val lapsing = HashMap<ServerName, Long>()
    private val drainingSince = HashMap<ServerName, Long>()
    private var troubledAt = Long.MIN_VALUE / 2

    /** Grows with every change. */
    var changes: Long = 0
        private set

    /** All servers that have not gone. */
    val all: Collection<BackendEntry> get() = entries.values

    /** The entry of [server]; null when it has gone. */
    operator fun get(server: ServerName): BackendEntry? = entries[server]

    /** Servers of [service] that take new work, outside [evacuated] domains. */
    fun usable(service: ServiceName, evacuated: Set<FailureDomainName>): List<BackendEntry> =
        entries.values.filter { it.service == service && it.state == ServerState.READY && it.domain !in evacuated }

    /** Notes that the table failed to answer at [now]. */
    fun troubled(now: Long) {
        troubledAt = now
    }

    /** Since when [server] has been known to drain; null when it does not. */
    fun drainingSince(server: ServerName): Long? = drainingSince[server]

    /** Takes in [entry] at [now]. */
    fun put(entry: BackendEntry, now: Long) {
        lapsing.remove(entry.server)
        if (entry.state == ServerState.DRAINING) {
            drainingSince.putIfAbsent(
                entry.server,
                now
            )
        } else {
            drainingSince.remove(entry.server)
        }
        if (entries.put(entry.server, entry) != entry) changes++
    }

    /** Takes in at [now] that the entry of [server] is gone; true when that counts at once. */
    fun remove(server: ServerName, now: Long): Boolean {
        val lapses = server in entries && now - troubledAt < LAPSE_MILLISECONDS
        if (lapses) lapsing.putIfAbsent(server, now + LAPSE_MILLISECONDS)
        return server in entries && !lapses && drop(server)
    }

    /** Drops what lapsed and did not come back by [now]. */
    fun expire(now: Long): List<ServerName> =
        lapsing.filterValues { it <= now }.keys.toList().onEach(::drop)

    private fun drop(server: ServerName): Boolean {
        lapsing.remove(server)
        drainingSince.remove(server)
        changes++
        return entries.remove(server) != null
    }

    private companion object {
        /** Living servers register again within about two seconds of the table's return (platform's contract). */
        const val LAPSE_MILLISECONDS = 2_000L
    }
}
