/*
 * Whether one gate may send: it holds a lease, the server took the grant, and nothing of an earlier gate is left.
 */
package rhubarbspool.router

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration

/** The lease of one gate as time passes. Times are monotonic milliseconds. */
internal class GateLeaseState(private val server: BackendServer, private val watch: ServerWatch) {
    private var acquiredAt = 0L
    private var isServerLost = false

    /** The lease in force, null for none. */
    var lease: GateLease? = null
        private set

    /** Epoch of the last lease. */
    var epoch: Long = 0
        private set

    /** Whether the gate is to be given away. */
    val isReleasing: Boolean get() = lease?.let { it.releaseOrder != 0L } ?: true

    /** Whether new requests may be taken at [now]. */
    fun acceptsRequests(now: Long): Boolean = !isReleasing && isLeaseValid(now)

    /** Whether the lease holds at [now]. */
    fun isLeaseValid(now: Long): Boolean = lease?.let { now < it.leaseUntil } ?: false

    /** The server was lost or started anew. */
    fun onServerLost() {
        isServerLost = true
    }

    /** Takes in the lease [current] at [now]; says whether the gate was newly acquired. */
    fun update(current: GateLease?, now: Long): Boolean {
        lease = current
        if (current == null || current.epoch == epoch) return false
        epoch = current.epoch
        acquiredAt = now
        isServerLost = false
        return true
    }

    /** Renews the grant and says whether the gate may send at [now]; [hasRuns] when it already does. */
    fun isOpen(configuration: ServiceConfiguration, hasRuns: Boolean, now: Long): Boolean {
        val current = lease
        if (current == null || !acceptsRequests(now)) return false
        watch.grant(epoch, current.leaseUntil, now)
        val noEarlierWork = hasRuns || isServerLost || watch.reportedInFlight == 0 ||
            now - acquiredAt > configuration.limits.maximumExecutionMilliseconds
        return noEarlierWork && watch.acceptedGrantEpoch == epoch
    }

    /** Until when once-only requests are in doubt, by the monotonic clock. */
    fun suspectUntil(now: Long, wall: Long): Long =
        lease?.suspectUntilWall?.takeIf { it != 0L }?.let { now + it - wall } ?: Long.MIN_VALUE

    /** Until when an earlier gate's work may run at a server that checks no grants. */
    fun inheritedUntil(configuration: ServiceConfiguration, now: Long): Long? =
        if (server.checksGrants) null else now + configuration.limits.maximumExecutionMilliseconds
}
