/*
 * The backend servers that this instance knows of, and which of them take work. Entries that lapse around an outage of
 * the platform's table are kept for a moment after its return, since living servers register again then. An instance
 * may be wrong about the outage, so a server without an entry gets work no longer than one that drains.
 */
package rhubarbspool.traffic

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** A copy of the platform's server entries. All times are monotonic milliseconds. */
class ServerDirectory {
    private val entries = HashMap<ServerName, BackendEntry>()
    private val missingSince = HashMap<ServerName, Long>()
    private val drainingSince = HashMap<ServerName, Long>()
    private val evacuatedSince = HashMap<FailureDomainName, Long>()

    /** Grows with every change. */
    var changes: Long = 0
        private set

    /** All servers that have not gone. */
    val all: Collection<BackendEntry> get() = entries.values

    /** The entry of [server]; null when it has gone. */
    operator fun get(server: ServerName): BackendEntry? = entries[server]

    /** Domains whose servers are to get no new work. */
    val evacuated: Set<FailureDomainName> get() = evacuatedSince.keys

    /** Whether any entry is missing and may have lapsed in an outage. */
    val hasMissing: Boolean get() = missingSince.isNotEmpty()

    /** Servers of [service] that take new work at [now]. */
    fun usable(service: ServiceName, now: Long): List<BackendEntry> = entries.values.filter {
        it.service == service && it.state == ServerState.READY && it.domain !in evacuatedSince &&
            !hasElapsed(missingSince[it.server], LEAVING_MILLISECONDS, now)
    }

    /** Whether [server] is leaving: it drains, its entry is missing, or its domain is evacuated. */
    fun isLeaving(server: ServerName): Boolean =
        server in drainingSince || isEntryMissing(server) || entries[server]?.domain in evacuatedSince

    /** Whether the entry of [server] is missing and may have lapsed in an outage. */
    fun isEntryMissing(server: ServerName): Boolean = server in missingSince

    /** Whether [server] may get work at [now]; one that is leaving may for a moment, since its keys are on the move. */
    fun mayStillServe(server: ServerName, now: Long): Boolean {
        val entry = entries[server] ?: return false
        return !hasElapsed(drainingSince[server], LEAVING_MILLISECONDS, now) &&
            !hasElapsed(missingSince[server], LEAVING_MILLISECONDS, now) &&
            !hasElapsed(evacuatedSince[entry.domain], EVACUATED_MILLISECONDS, now)
    }

    /** Takes in at [now] whether [domain] is evacuated; true when that is news. */
    fun setEvacuated(domain: FailureDomainName, active: Boolean, now: Long): Boolean {
        val changed = if (active) {
            evacuatedSince.putIfAbsent(domain, now) == null
        } else {
            evacuatedSince.remove(domain) != null
        }
        if (changed) changes++
        return changed
    }

    /** Takes in [entry] at [now]. */
    fun put(entry: BackendEntry, now: Long) {
        missingSince.remove(entry.server)
        val isDraining = entry.state == ServerState.DRAINING
        if (isDraining) drainingSince.putIfAbsent(entry.server, now) else drainingSince.remove(entry.server)
        if (entries.put(entry.server, entry) != entry) changes++
    }

    /** Takes in at [now] that the entry of [server] is gone; true when that counts at once, not [afterOutage]. */
    fun remove(server: ServerName, now: Long, afterOutage: Boolean = false): Boolean {
        val mayReturn = server in entries && afterOutage
        if (mayReturn) missingSince.putIfAbsent(server, now)
        return server in entries && !mayReturn && drop(server)
    }

    /** Drops what lapsed and did not come back by [now]. */
    fun expire(now: Long): List<ServerName> =
        missingSince.filterValues { hasElapsed(it, REREGISTRATION_MILLISECONDS, now) }.keys.toList().onEach(::drop)

    private fun drop(server: ServerName): Boolean {
        missingSince.remove(server)
        drainingSince.remove(server)
        changes++
        return entries.remove(server) != null
    }

    private companion object {
        /** Living servers register again within about two seconds of the table's return (platform's contract). */
        const val REREGISTRATION_MILLISECONDS = 2_000L

        /** A server may get work for two seconds after it left or said so (platform's bound); the rest is transit. */
        const val LEAVING_MILLISECONDS = 1_500L

        /**
         * An evacuated domain may get work for five seconds (platform's bound), of which an instance that has just
         * started does not know how many are over: it is held to the bound three seconds after its start.
         */
        const val EVACUATED_MILLISECONDS = 1_800L
    }
}

private fun hasElapsed(since: Long?, milliseconds: Long, now: Long): Boolean =
    since != null && now - since >= milliseconds
