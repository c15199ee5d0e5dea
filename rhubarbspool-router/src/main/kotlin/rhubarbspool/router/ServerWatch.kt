/*
 * Watches one backend server: probes its health and renews its grant. Tells from health reports, refused connections
 * and timeouts whether the server is reachable, has restarted, or is draining.
 */
package rhubarbspool.router

import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import rhubarbspool.configuration.BackendServer
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpClient
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.platformJson
import java.net.ConnectException

/** Told of state changes of the server. */
internal interface ServerWatchListener {
    /** The server refuses connections or has restarted, so that its runs no longer execute. */
    fun onServerLost()

    /** The server reported that it is cold. */
    fun onReportedCold()
}

/** Probes [server] through [client]. Used on one event loop. */
internal class ServerWatch(
    private val server: BackendServer,
    private val client: HttpClient,
    private val listener: ServerWatchListener,
) {
    private var lastProbeAt = Long.MIN_VALUE / 2
    private var isProbing = false
    private var missedProbes = 0
    private var incarnation: String? = null
    private var lastGrantSentAt = Long.MIN_VALUE / 2

    /** Whether the server answers probes and is not draining; null before the first probe ended. */
    var isAvailable: Boolean? = null
        private set

    /** Since when the server reports that it is draining, in monotonic milliseconds; null when it does not. */
    var leavingSince: Long? = null
        private set

    /** Requests in flight by the server's last health report; null before the first one. */
    var reportedInFlight: Int? = null
        private set

    /** Epoch of the last grant that the server accepted. */
    var acceptedGrantEpoch: Long = 0
        private set

    /** Latest expiry of all grants sent, in monotonic milliseconds. */
    var latestGrantExpiresAt: Long = 0
        private set

    /** Probes the server if a probe is due at [now]. */
    fun tick(now: Long) {
        val interval = if (isAvailable == false) RETRY_INTERVAL_MILLISECONDS else PROBE_INTERVAL_MILLISECONDS
        if (!isProbing && now - lastProbeAt >= interval) probe(now)
    }

    /** Probes the server at once, unless a probe is in flight; used after a failed call. */
    fun probe(now: Long) {
        if (isProbing) return
        isProbing = true
        lastProbeAt = now
        client.send(server.address, HttpCall("GET", "/health")).whenComplete { answer, failure ->
            isProbing = false
            if (failure == null) onHealthReport(answer) else onProbeFailed(failure)
        }
    }

    /** Renews the grant of [epoch] if it is due; it expires with the gate's lease at [leaseUntil]. */
    fun grant(epoch: Long, leaseUntil: Long, now: Long) {
        if (!server.checksGrants) acceptedGrantEpoch = epoch
        val interval = if (acceptedGrantEpoch == epoch) GRANT_INTERVAL_MILLISECONDS else RETRY_INTERVAL_MILLISECONDS
        if (!server.checksGrants || now - lastGrantSentAt < interval) return
        lastGrantSentAt = now
        val remaining = leaseUntil - now
        latestGrantExpiresAt = maxOf(latestGrantExpiresAt, leaseUntil)
        val body = platformJson.encodeToString(ServerGrant(epoch, remaining))
        client.send(server.address, HttpCall("PUT", "/grants", body)).whenComplete { answer, _ ->
            if (answer?.status == OK) acceptedGrantEpoch = epoch
        }
    }

    /** Asks the server to cancel [call]; calls [onConfirmed] when the server confirms that it no longer runs. */
    fun cancel(call: String, onConfirmed: () -> Unit) {
        client.send(server.address, HttpCall("POST", "/cancellations/$call")).whenComplete { answer, _ ->
            if (answer?.status == OK) onConfirmed()
        }
    }

    private fun onHealthReport(answer: HttpAnswer) {
        missedProbes = 0
        val health = try {
            platformJson.decodeFromString<ServerHealth>(answer.body)
        } catch (_: SerializationException) {
            ServerHealth()
        }
        val hasRestarted = incarnation != null && incarnation != health.run && isAvailable != false
        incarnation = health.run
        reportedInFlight = health.running
        leavingSince = if (health.draining) leavingSince ?: ProcessClock.monotonic() else null
        isAvailable = !health.draining
        if (hasRestarted) listener.onServerLost()
        if (health.state == "cold") listener.onReportedCold()
    }

    private fun onProbeFailed(failure: Throwable) {
        missedProbes++
        val refused = failure is ConnectException
        if (!refused && missedProbes < MISSED_PROBES_LIMIT) return
        val wasAvailable = isAvailable
        isAvailable = false
        if (refused && wasAvailable != false) listener.onServerLost()
    }

    private companion object {
        const val OK = 200
        const val PROBE_INTERVAL_MILLISECONDS = 250L
        const val RETRY_INTERVAL_MILLISECONDS = 50L
        const val GRANT_INTERVAL_MILLISECONDS = 200L
        const val MISSED_PROBES_LIMIT = 2
    }
}
