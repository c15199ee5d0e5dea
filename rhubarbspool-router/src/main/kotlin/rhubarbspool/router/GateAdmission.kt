/*
 * Checks, before a gate decides on a request, that the gate's server serves the key of the request.
 */
package rhubarbspool.router

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.gate.GateRequest
import rhubarbspool.routing.KeyLocation
import rhubarbspool.routing.KeyLocator
import rhubarbspool.table.RowKeys

/** Checks requests for the gate of [server] against the shared rows. Times are monotonic milliseconds. */
internal class GateAdmission(
    private val view: RouterView,
    private val server: BackendServer,
    private val watch: ServerWatch,
) {
    /** Location of [key] if this server may serve it, else null. */
    fun locateOwned(configuration: ServiceConfiguration, key: String): KeyLocation? =
        KeyLocator.locate(view.rows, configuration, key)
            ?.takeIf { it.server == server.name && it.shardVersion <= view.completeRevision }

    /** Why the gate refuses [incoming] at [now]; null when it accepts it. */
    fun refusal(configuration: ServiceConfiguration, incoming: IncomingRequest, now: Long): RequestError? {
        val location = locateOwned(configuration, incoming.key)
        val releasing = releasingShards(configuration)
        return when {
            location == null -> RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = SHORT_RETRY_MILLISECONDS)
            releasing.any { it == location.shardKey || it == RowKeys.hotShard(configuration.service, incoming.key) } ->
                RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = SHORT_RETRY_MILLISECONDS)

            isLeaving(now) -> RequestError(ErrorKind.NO_OWNER, "the server is leaving", LONG_RETRY_MILLISECONDS)
            else -> null
        }
    }

    /** Row keys of the shards of this service that the controller has ordered to be released. */
    fun releasingShards(configuration: ServiceConfiguration): Set<String> =
        view.releases.keys.filterTo(HashSet()) { it.startsWith("shard/${configuration.service}/") }

    /** Tests whether a request belongs to the shard under [subject], or to the hot key being split into that shard. */
    fun belongsTo(configuration: ServiceConfiguration, subject: String): (GateRequest) -> Boolean =
        { it.shard == subject || RowKeys.hotShard(configuration.service, it.key) == subject }

    private fun isLeaving(now: Long): Boolean {
        val since = listOfNotNull(watch.leavingSince, view.draining.since(server, now)).minOrNull()
        return since != null && now - since > LEAVING_GRACE_MILLISECONDS
    }

    private companion object {
        const val SHORT_RETRY_MILLISECONDS = 500L
        const val LONG_RETRY_MILLISECONDS = 2_000L
        const val LEAVING_GRACE_MILLISECONDS = 2_000L
    }
}
