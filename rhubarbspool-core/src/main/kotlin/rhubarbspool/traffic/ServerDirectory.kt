/*
 * The backend servers known to this instance, and which of them accept requests. Entries that expire around an outage
 * of the platform's table are kept for two seconds after its recovery, since live servers register again then. An
 * instance may be wrong about the outage, so a server without an entry gets requests no longer than a draining one.
 */
package rhubarbspool.traffic

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Local copy of the platform's server entries. All times are monotonic milliseconds. */
class ServerDirectory {
    private val entries = HashMap<ServerName, BackendEntry>()
    private val missingSince = HashMap<ServerName, Long>()
    private val drainingSince = HashMap<ServerName, Long>()
    private val evacuatedSince = HashMap<FailureDomainName, Long>()
    private val resurfaced = ResurfacedEntries()
    private val announced = LeavingServers()

    /** Number of changes so far. */
    var changes: Long = 0
        private set

    /** Entries of all servers, including those that are leaving. */
    val all: Collection<BackendEntry> get() = entries.values

    /** Entry of [server]; null if it was removed. */
    operator fun get(server: ServerName): BackendEntry? = entries[server]

    /** Evacuated failure domains, whose servers get no new requests. */
    val evacuated: Set<FailureDomainName> get() = evacuatedSince.keys

    /** Servers whose entry is missing and may have expired in an outage. */
    val missing: Set<ServerName> get() = missingSince.keys

    /** Servers that have said in a response that they leave. */
    val leaving: Collection<LeavingServer> get() = announced.all

    /** Servers of [service] that accept new requests at [now]. */
    fun usable(service: ServiceName, now: Long): List<BackendEntry> = entries.values.filter {
        it.service == service && it.state == ServerState.READY && it.domain !in evacuatedSince &&
            !hasElapsed(missingSince[it.server], LEAVING_MILLISECONDS, now)
    }

    /** Whether [server] is draining, its entry is missing, or its failure domain is evacuated. */
    fun isLeaving(server: ServerName): Boolean =
        server in drainingSince || server in missingSince || entries[server]?.domain in evacuatedSince

    /** Whether [server] may get requests at [now]. A leaving one may for a bounded time, while its keys are moved. */
    fun mayStillServe(server: ServerName, now: Long): Boolean {
        val entry = entries[server] ?: return false
        return !hasElapsed(drainingSince[server], LEAVING_MILLISECONDS, now) &&
            !hasElapsed(missingSince[server], LEAVING_MILLISECONDS, now) &&
            !hasElapsed(evacuatedSince[entry.domain], EVACUATED_MILLISECONDS, now)
    }

    /** Records at [now] whether [domain] is evacuated; returns whether that changed. */
    fun setEvacuated(domain: FailureDomainName, active: Boolean, now: Long): Boolean {
        val changed = if (active) {
            evacuatedSince.putIfAbsent(domain, now) == null
        } else {
            evacuatedSince.remove(domain) != null
        }
        if (changed) changes++
        return changed
    }

    /**
     * Adds or replaces an entry as [reported] at [now]; a server that has said that it leaves counts as draining. An
     * entry that is [fromCopy], the first one read from a restored table, is ignored if a later report of the server is
     * known, and held back if the server has left since.
     */
    fun put(reported: BackendEntry, now: Long, fromCopy: Boolean = false) {
        val announcedAt = announced.since(reported)
        val entry = if (announcedAt == null) reported else reported.copy(state = ServerState.DRAINING)
        val known = entries[entry.server]
        if (fromCopy && resurfaced.isOutdated(entry, known, now)) {
            val isLastReport = known?.isLaterThan(entry) == false
            if (isLastReport) missingSince.remove(entry.server)
            return
        }
        resurfaced.release(entry.server)
        missingSince.remove(entry.server)
        val isDraining = entry.state == ServerState.DRAINING
        val leavesSince = announcedAt ?: now
        if (isDraining) drainingSince.putIfAbsent(entry.server, leavesSince) else drainingSince.remove(entry.server)
        if (entries.put(entry.server, entry) != entry) changes++
    }

    /** A server has said in a response that it leaves, as [next] tells; returns whether that was not known. */
    fun announceLeaving(next: LeavingServer): Boolean {
        val isNews = announced.record(next)
        val entry = entries[next.server]?.takeIf { isNews && it.bornWall == next.bornWall }
        if (entry != null) {
            entries[next.server] = entry.copy(state = ServerState.DRAINING)
            drainingSince.merge(next.server, next.since, ::minOf)
            changes++
        }
        return isNews
    }

    /**
     * Records at [now] that the entry of [server] was removed from the table. [afterOutage] only marks it as missing,
     * since it may be registered again. Returns whether it was dropped.
     */
    fun remove(server: ServerName, now: Long, afterOutage: Boolean = false): Boolean {
        resurfaced.release(server)
        val mayReturn = server in entries && afterOutage
        if (mayReturn) missingSince.putIfAbsent(server, now)
        return server in entries && !mayReturn && drop(server)
    }

    /**
     * Drops servers whose entry is still missing at [now] after the time to register again, and adds those whose
     * entries were held back for long enough; returns both.
     */
    fun expire(now: Long): List<ServerName> {
        val lapsed =
            missingSince.filterValues { hasElapsed(it, REREGISTRATION_MILLISECONDS, now) }.keys.toList().onEach(::drop)
        val returned = resurfaced.takeDue(now).onEach { put(it, now) }
        return lapsed + returned.map { it.server }
    }

    private fun drop(server: ServerName): Boolean {
        missingSince.remove(server)
        drainingSince.remove(server)
        changes++
        return entries.remove(server)?.also(resurfaced::recordEnd) != null
    }

    private companion object {
        /** Live servers register again within about two seconds after the table recovers (platform's contract). */
        const val REREGISTRATION_MILLISECONDS = 2_000L

        /**
         * A server may get requests for two seconds after it left or announced that it leaves (platform's bound); the
         * difference covers requests in transit.
         */
        const val LEAVING_MILLISECONDS = 1_500L

        /**
         * An evacuated domain may get requests for five seconds (platform's bound). An instance that has just started
         * doesn't know how many of them have passed, so the bound applies to it three seconds after its start.
         */
        const val EVACUATED_MILLISECONDS = 1_800L
    }
}

private fun hasElapsed(since: Long?, milliseconds: Long, now: Long): Boolean =
    since != null && now - since >= milliseconds
