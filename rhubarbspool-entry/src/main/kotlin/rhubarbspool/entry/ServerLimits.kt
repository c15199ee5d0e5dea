/*
 * The limits that servers have named in responses to this instance. They are sent along with slot requests, so that an
 * instance which begins to dispatch for a server knows its limit before it permits the first request.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.model.ServerName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerDirectory

/** Limits of the servers in [directory]. All times are monotonic milliseconds. */
internal class ServerLimits(private val directory: ServerDirectory, private val log: DecisionLog) {
    private class Limit(val entry: BackendEntry, val requestsPerSecond: Double, val namedAt: Long)

    private val limits = HashMap<ServerName, Limit>()

    /**
     * Records a response of [entry] at [now] to a request that was sent at [sentAt], with the limit that it [named].
     * Returns the limit unless another server may have named it. Only a regular response shows that there is none.
     */
    fun record(entry: BackendEntry, named: Double?, outcome: CallOutcome, sentAt: Long, now: Long): Double? {
        val limit = named?.takeIf { outcome != CallOutcome.MISDIRECTED }
        if (limit != null || outcome == CallOutcome.ANSWERED) update(entry, limit, sentAt, now)
        return limit
    }

    /** The limits of the servers of [pool] at [now]. */
    fun of(pool: PoolName, now: Long): List<LimitMessage> {
        if (limits.isEmpty()) return emptyList()
        limits.values.removeIf { directory[it.entry.server]?.bornWall != it.entry.bornWall }
        return limits.values.filter { limit -> limit.entry.isIn(pool) }
            .map { LimitMessage(it.entry.server.text, it.requestsPerSecond, now - it.namedAt) }
    }

    private fun update(entry: BackendEntry, requestsPerSecond: Double?, sentAt: Long, now: Long) {
        val known = limits[entry.server]?.takeIf { it.entry.bornWall == entry.bornWall }
        if (requestsPerSecond == null && known != null && sentAt < known.namedAt) return
        if (known?.requestsPerSecond != requestsPerSecond) {
            log.belief("limit", "server" to entry.server, "perSecond" to requestsPerSecond)
        }
        if (requestsPerSecond == null) {
            limits.remove(entry.server)
        } else {
            limits[entry.server] = Limit(entry, requestsPerSecond, now)
        }
    }
}
