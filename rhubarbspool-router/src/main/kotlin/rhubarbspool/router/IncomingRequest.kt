/*
 * A caller's request on its way through the routers, and where its answer goes.
 */
package rhubarbspool.router

import rhubarbspool.configuration.Route
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.RequestError
import rhubarbspool.gate.RecordedAnswer
import rhubarbspool.routing.RouteMatch

/** One header field. */
internal data class Header(val name: String, val value: String)

/** A caller's [requestId] of a once-only request; [isFirst] when the caller says that it is new. */
internal data class Attempt(val requestId: String?, val isFirst: Boolean)

/**
 * A request that was matched to a route.
 *
 * @property caller who asks, for fairness between callers.
 * @property attempt the caller's id of a once-only request, and whether it sends the id for the first time.
 * @property deadlineAt monotonic milliseconds of this process.
 */
internal class IncomingRequest(
    val match: RouteMatch,
    val headers: List<Header>,
    val body: ByteArray,
    val caller: String,
    val attempt: Attempt,
    val deadlineAt: Long,
) {
    val requestId: String? get() = attempt.requestId

    val configuration: ServiceConfiguration get() = match.configuration
    val route: Route get() = match.route
    val key: String get() = match.key

    /** Path and query as the backend server expects them. */
    val target: String get() = match.serverPath
}

/** Status and headers of an answer; [server] is the backend server that gave it. */
internal data class AnswerHead(val status: Int, val headers: List<Header>, val server: String)

/** Where one caller's answer goes. Used on the router's event loop only. */
internal interface AnswerSink {
    /** Whether more of the answer may be written now. */
    val isWritable: Boolean

    /** Calls [action] each time that more may be written. */
    fun onWritable(action: () -> Unit)

    /** Begins a server's answer. */
    fun head(head: AnswerHead)

    /** Passes on a part of the body. */
    fun body(bytes: ByteArray)

    /** The answer is whole. */
    fun complete()

    /** The answer began and can't be finished. */
    fun abort()

    /** The system itself answers. */
    fun refuse(error: RequestError)
}

/** A request under way; [cancel] when its caller has gone. */
internal fun interface Cancellable {
    fun cancel()
}

/** Gives the recorded [answer] of an earlier run at [server]. */
internal fun AnswerSink.replay(answer: RecordedAnswer, server: String) {
    val type = answer.contentType?.let { Header("content-type", it) }
    head(AnswerHead(answer.status, listOfNotNull(type, Header("rhubarbspool-replayed", "true")), server))
    answer.body?.let { body(it.toByteArray()) }
    complete()
}
