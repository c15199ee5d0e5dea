/*
 * Watches one backend server: asks for its health, renews its grant, and concludes from connections that are
 * refused or unanswered whether it can be reached, has been started anew, or is leaving.
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

/** Hears what the watch concludes. */
internal interface ServerWatchListener {
    /** The server refuses connections or was started anew: what it ran is gone. */
    fun lost()

    /** The server says that it is cold. */
    fun saysCold()
}

/** Watches [server] through [client]. Used on one event loop. */
internal class ServerWatch(
    private val server: BackendServer,
    private val client: HttpClient,
    private val listener: ServerWatchListener,
) {
    private var probedAt = Long.MIN_VALUE / 2
    private var probing = false
    private var misses = 0
    private var run: String? = null
    private var grantedAt = Long.MIN_VALUE / 2

    /** Whether the server answers and is not leaving; null before the first probe ended. */
    var available: Boolean? = null
        private set

    /** Since when the server says that it is leaving; null when it does not. */
    var leavingSince: Long? = null
        private set

    /** Requests that the server's last report says it runs; null before the first report. */
    var reportedRunning: Int? = null
        private set

    /** Epoch of the last grant that the server took. */
    var grantedEpoch: Long = 0
        private set

    /** When the last grant that was sent ends at the latest. */
    var grantEndsAt: Long = 0
        private set

    /** Probes when it is time to. */
    fun tick(now: Long) {
        val interval = if (available == false) URGENT_MILLISECONDS else INTERVAL_MILLISECONDS
        if (!probing && now - probedAt >= interval) probe(now)
    }

    /** Probes at once: something went wrong with a call. */
    fun probe(now: Long) {
        if (probing) return
        probing = true
        probedAt = now
        client.send(server.address, HttpCall("GET", "/health")).whenComplete { answer, failure ->
            probing = false
            if (failure == null) healthy(answer) else failed(failure)
        }
    }

    /** Renews the grant of [epoch], which ends with the gate's lease at [leaseUntil]. */
    fun grant(epoch: Long, leaseUntil: Long, now: Long) {
        if (!server.checksGrants) grantedEpoch = epoch
        val interval = if (grantedEpoch == epoch) GRANT_MILLISECONDS else URGENT_MILLISECONDS
        if (!server.checksGrants || now - grantedAt < interval) return
        grantedAt = now
        val remaining = leaseUntil - now
        grantEndsAt = maxOf(grantEndsAt, leaseUntil)
        val body = platformJson.encodeToString(ServerGrant(epoch, remaining))
        client.send(server.address, HttpCall("PUT", "/grants", body)).whenComplete { answer, _ ->
            if (answer?.status == OK) grantedEpoch = epoch
        }
    }

    /** Asks the server to cancel [call]; [confirmed] when it certainly does not run it any more. */
    fun cancel(call: String, confirmed: () -> Unit) {
        client.send(server.address, HttpCall("POST", "/cancellations/$call")).whenComplete { answer, _ ->
            if (answer?.status == OK) confirmed()
        }
    }

    private fun healthy(answer: HttpAnswer) {
        misses = 0
        val health = try {
            platformJson.decodeFromString<ServerHealth>(answer.body)
        } catch (_: SerializationException) {
            ServerHealth()
        }
        val startedAnew = run != null && run != health.run && available != false
        run = health.run
        reportedRunning = health.running
        leavingSince = if (health.draining) leavingSince ?: ProcessClock.monotonic() else null
        available = !health.draining
        if (startedAnew) listener.lost()
        if (health.state == "cold") listener.saysCold()
    }

    private fun failed(failure: Throwable) {
        misses++
        val refused = failure is ConnectException
        if (!refused && misses < MISSES) return
        val before = available
        available = false
        if (refused && before != false) listener.lost()
    }

    private companion object {
        const val OK = 200
        const val INTERVAL_MILLISECONDS = 250L
        const val URGENT_MILLISECONDS = 50L
        const val GRANT_MILLISECONDS = 200L
        const val MISSES = 2
    }
}
