/*
 * A caller's request as the routers pass it along, and the sink for its answer.
 */
package rhubarbspool.router

import rhubarbspool.configuration.Route
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.RequestError
import rhubarbspool.gate.RecordedAnswer
import rhubarbspool.routing.RouteMatch

/** One header field. */
internal data class Header(val name: String, val value: String)

/** The caller's [requestId] of a once-only request; [isFirst] when the caller declares its first attempt. */
internal data class Attempt(val requestId: String?, val isFirst: Boolean)

/**
 * A request that was matched to a route.
 *
 * @property caller identity of the caller, for fairness between callers.
 * @property attempt the caller's request id, and whether this is its first attempt.
 * @property deadlineAt deadline in monotonic milliseconds of this process.
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

    /** Path and query that are sent to the backend server. */
    val target: String get() = match.serverPath
}

/** Status and headers of a response; [server] is the backend server that sent it. */
internal data class AnswerHead(val status: Int, val headers: List<Header>, val server: String)

/** Receives the answer to one request. Used on the router's event loop only. */
internal interface AnswerSink {
    /** Whether the receiver has capacity for more of the body. */
    val isWritable: Boolean

    /** Calls [action] each time the receiver becomes writable. */
    fun onWritable(action: () -> Unit)

    /** Starts a backend server's response. */
    fun head(head: AnswerHead)

    /** Writes a part of the body. */
    fun body(bytes: ByteArray)

    /** Ends a complete response. */
    fun complete()

    /** Breaks off a response that was started and can't be completed. */
    fun abort()

    /** Answers with an error of the router itself. */
    fun refuse(error: RequestError)
}

/** A request in flight, to be cancelled when its caller disconnects. */
internal fun interface Cancellable {
    fun cancel()
}

/** Writes the recorded [answer] of an earlier run at [server]. */
internal fun AnswerSink.replay(answer: RecordedAnswer, server: String) {
    val type = answer.contentType?.let { Header("content-type", it) }
    head(AnswerHead(answer.status, listOfNotNull(type, Header("rhubarbspool-replayed", "true")), server))
    answer.body?.let { body(it.toByteArray()) }
    complete()
}
