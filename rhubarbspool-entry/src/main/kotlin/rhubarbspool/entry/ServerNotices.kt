/*
 * What servers say of themselves in responses to this instance: that they leave, and for how long they want no further
 * request from it. Other instances are told of servers that leave: those that this one is connected to at once, the one
 * that dispatches for a pool with each slot request, and the coordinator, which moves their keys.
 */
package rhubarbspool.entry

import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.LeavingServer
import rhubarbspool.traffic.ServerPauses
import rhubarbspool.traffic.TrafficService

/** Records the notices of servers. All times are monotonic milliseconds. */
internal class ServerNotices(
    private val process: ProcessContext,
    private val names: HeaderNames,
    private val hub: PeerHub,
) {
    private val directory = process.state.directory
    private val pauses = ServerPauses()

    /** Records what the response with [head], received at [now], says of its server, the one of [entry]. */
    fun observe(head: ServerHead, entry: BackendEntry, now: Long) {
        if (head.announcesLeaving(names)) announceLeaving(LeavingServer(entry.server, entry.bornWall, now), now)
        val pause = head.pauseMilliseconds ?: return
        val until = pauses.record(entry, pause, now)
        if (until != null) {
            process.log.belief("pause", "server" to entry.server, "named" to pause, "milliseconds" to until - now)
        }
    }

    /** Whether the server of [entry] wants no request from this instance at [now]. */
    fun isPaused(entry: BackendEntry, now: Long): Boolean = pauses.remaining(entry, now) > 0

    /** Servers that want no request from this instance at [now]. */
    fun paused(now: Long): Set<ServerName> = pauses.paused(now)

    /** Milliseconds from [now] until a server of [service] wants requests from this instance. */
    fun remainingPause(service: TrafficService, now: Long): Long =
        directory.usable(service.name, now).minOfOrNull { pauses.remaining(it, now) } ?: 0

    /** Milliseconds from [now] until the server of [entry] wants requests from this instance. */
    fun remainingPause(entry: BackendEntry, now: Long): Long = pauses.remaining(entry, now)

    /** Servers of [pool] that have said that they leave, as of [now]. */
    fun leaving(pool: PoolName, now: Long): List<LeavingMessage> =
        directory.leaving.filter { directory[it.server]?.isIn(pool) == true }.map { it.toMessage(now) }

    private fun announceLeaving(server: LeavingServer, now: Long) {
        if (!process.state.recordLeaving(server, "response")) return
        val service = directory[server.server]?.service
        val coordinator = service?.let { process.state.shared.ownership[it]?.document?.coordinator }
        hub.announce(server.toMessage(now), coordinator?.let(::InstanceName), now)
    }

    private fun LeavingServer.toMessage(now: Long) = LeavingMessage(server.text, bornWall, now - since)
}

/** Whether the server of this entry is one of [pool]. */
internal fun BackendEntry.isIn(pool: PoolName): Boolean = service.text == pool.service &&
    if (pool.server.isEmpty()) domain.text == pool.domain else server.text == pool.server
