/*
 * Whether one gate may send: it holds a lease, the server accepted its grant, and no run of an earlier gate is left.
 */
package rhubarbspool.router

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration

/** Lease of one gate. Times are monotonic milliseconds. */
internal class GateLeaseState(private val server: BackendServer, private val watch: ServerWatch) {
    private var acquiredAt = 0L
    private var isServerLost = false

    /** The current lease, null for none. */
    var lease: GateLease? = null
        private set

    /** Epoch of the last lease. */
    var epoch: Long = 0
        private set

    /** Whether the gate is being released, or holds no lease. */
    val isReleasing: Boolean get() = lease?.let { it.releaseOrder != 0L } ?: true

    /** Whether new requests are accepted at [now]. */
    fun acceptsRequests(now: Long): Boolean = !isReleasing && isLeaseValid(now)

    /** Whether there is a lease and it has not expired at [now]. */
    fun isLeaseValid(now: Long): Boolean = lease?.let { now < it.leaseUntil } ?: false

    /** Records that the server crashed or restarted, so that no run of an earlier gate is left. */
    fun onServerLost() {
        isServerLost = true
    }

    /** Replaces the lease with [current]; returns whether the gate was newly acquired, under a new epoch. */
    fun update(current: GateLease?, now: Long): Boolean {
        lease = current
        if (current == null || current.epoch == epoch) return false
        epoch = current.epoch
        acquiredAt = now
        isServerLost = false
        return true
    }

    /** Renews the grant and returns whether the gate may send at [now]; [hasRuns] says that it has runs in flight. */
    fun isOpen(configuration: ServiceConfiguration, hasRuns: Boolean, now: Long): Boolean {
        val current = lease
        if (current == null || !acceptsRequests(now)) return false
        watch.grant(epoch, current.leaseUntil, now)
        val noEarlierWork = hasRuns || isServerLost || watch.reportedInFlight == 0 ||
            now - acquiredAt > configuration.limits.maximumExecutionMilliseconds
        return noEarlierWork && watch.acceptedGrantEpoch == epoch
    }

    /**
     * Until when once-only requests without a record may have run under an earlier holder. [now] and [wall] are the
     * current monotonic and wall clock times; the lease gives the end by the wall clock.
     */
    fun suspectUntil(now: Long, wall: Long): Long =
        lease?.suspectUntilWall?.takeIf { it != 0L }?.let { now + it - wall } ?: Long.MIN_VALUE

    /** Until when runs of an earlier gate may execute at a server without grant checks; null if it checks grants. */
    fun inheritedUntil(configuration: ServiceConfiguration, now: Long): Long? =
        if (server.checksGrants) null else now + configuration.limits.maximumExecutionMilliseconds
}
