/*
 * What is known of a request from its start, and what has become of it so far.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.AttemptState
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.TrafficRoute
import rhubarbspool.traffic.TrafficService

/** The request [callerRequest] with [id] on [route] to [service]. Times are monotonic milliseconds. */
internal class RequestState(
    private val context: RequestContext,
    val id: String,
    val callerRequest: CallerRequest,
    val route: TrafficRoute,
    val service: TrafficService,
) {
    /** Whether it may run more than once. */
    val repeatable: Boolean = route.kind.repeatable

    /** Until when an answer has its full value. */
    val dueAt: Long = callerRequest.arrivedAt + route.targetMilliseconds

    /** Until when the caller is kept waiting. */
    val deadlineAt: Long =
        callerRequest.arrivedAt + minOf(route.timeoutMilliseconds, requestedTimeout() ?: Long.MAX_VALUE)

    /** Until when the caller waits for the rest of an answer that has begun. */
    val streamDeadlineAt: Long = requestedTimeout()?.let { callerRequest.arrivedAt + it } ?: deadlineAt

    /** The key, where the request has one. */
    val key: Int? = callerRequest.headers.get(context.names.key)?.toIntOrNull()
        ?.takeIf { it in 0 until OwnershipDocument.KEYS }

    /** Servers that the request was sent to, or could not be sent to. */
    val triedServers = LinkedHashSet<ServerName>()

    /** Servers that may have begun to run it. */
    var runs = 0

    /** Times that it was refused without being run, or could not be sent. */
    var refusals = 0

    /** Where the request stands at [now], for the decision about another try. */
    fun attemptState(now: Long) =
        AttemptState(repeatable, runs, refusals, route.maximumAttempts, deadlineAt - now, service.sharded)

    /** Takes a retry from this instance's part of the budget at [now]. */
    fun tryAcquireRetry(now: Long): Boolean = context.retryAllowance(service.name).tryAcquire(context.retrySlack, now)

    /** The range of the key, where the service is sharded and has owners. */
    fun range(): Int? {
        val document = context.process.state.shared.ownership[service.name]?.document
        return if (document == null || key == null) null else OwnershipDocument.rangeOf(key, document.ranges)
    }

    /** The living owner of the key at [now]; null when its life has ended, it has left, or nobody owns the key. */
    fun owner(now: Long): BackendEntry? {
        val directory = context.process.state.directory
        val document = context.process.state.shared.ownership[service.name]?.document
        val owner = range()?.let { document?.owner(it) }
        val entry = owner?.let { directory[it.server] }?.takeIf { it.bornWall == owner.bornWall }
        return entry?.takeIf { directory.mayStillServe(it.server, now) }
    }

    private fun requestedTimeout(): Long? =
        callerRequest.headers.get(context.names.timeout)?.toLongOrNull()?.coerceIn(0, MAXIMUM_TIMEOUT_MILLISECONDS)

    private companion object {
        /** A day; a caller that asks for more gets that. */
        const val MAXIMUM_TIMEOUT_MILLISECONDS = 86_400_000L
    }
}
