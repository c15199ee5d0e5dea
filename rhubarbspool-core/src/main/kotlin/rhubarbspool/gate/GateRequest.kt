/*
 * A request as the gate of a backend server sees it, and what the gate asks the edge to do. Times are monotonic
 * milliseconds of the gate's process.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.Priority
import rhubarbspool.configuration.RunKind
import rhubarbspool.errors.RequestError

/**
 * One request of one caller.
 *
 * @property id unique within the gate's process.
 * @property shard row key of the shard that the request's key belongs to.
 * @property fingerprint hash over method, target and body; equal for equal requests.
 * @property coalesceKey equal for requests that may share one answer; null where sharing is off.
 * @property onceId the caller's request id on a route of kind once.
 * @property firstAttempt whether the caller says that it sends this id for the first time.
 */
data class GateRequest(
    val id: Long,
    val key: String,
    val shard: String,
    val caller: String,
    val kind: RunKind,
    val priority: Priority,
    val fingerprint: String,
    val deadlineAt: Long,
    val coalesceKey: String? = null,
    val onceId: String? = null,
    val firstAttempt: Boolean = false,
)

/** The outcome of a once-only request, kept for callers who send it again. */
data class RecordedAnswer(val status: Int, val contentType: String?, val body: String?)

/** How a call to the server ended. */
sealed interface CallResult {
    /** A whole answer arrived; [record] is its short form for repeats of a once-only request. */
    data class Answered(val status: Int, val record: RecordedAnswer? = null) : CallResult

    /** The server refused the request before running it; come back after [retryAfterMilliseconds]. */
    data class Shed(val retryAfterMilliseconds: Long?) : CallResult

    /** No byte of the request was sent. */
    data object NotSent : CallResult

    /**
     * Something was sent and no whole answer came; [answerBegan] when the caller saw a part of one, [byServer] when
     * the server closed the connection rather than this side.
     */
    data class Broken(val answerBegan: Boolean = false, val byServer: Boolean = false) : CallResult
}

/** What became of the record that a once-only request is about to run. */
sealed interface IntentResult {
    /** The table has the record, and it is new. */
    data object Recorded : IntentResult

    /** An earlier gate recorded the same request; [answer] when it also recorded the outcome. */
    data class Duplicate(val fingerprint: String, val answer: RecordedAnswer?) : IntentResult

    /** The table can't be reached, or its answer was lost. */
    data object Unavailable : IntentResult
}

/** What the gate asks the edge to do. */
sealed interface GateEffect {
    /** Send the call of [request] to the server. The call is named by the id of this request. */
    data class Dispatch(val request: GateRequest) : GateEffect

    /** Give [request] its share of the answer of [call]. */
    data class Attach(val request: Long, val call: Long) : GateEffect

    /** Answer [request] with [error], or try it elsewhere; see [RequestError.forOnceOnly] for what may be told. */
    data class Refuse(val request: Long, val error: RequestError) : GateEffect

    /** Answer [request] with the recorded [answer] of an earlier run. */
    data class Replay(val request: Long, val answer: RecordedAnswer) : GateEffect

    /** Record at the table that [request] is about to run. */
    data class RecordIntent(val request: GateRequest) : GateEffect

    /** Record at the table what the once-only request [onceId] came to. */
    data class RecordOutcome(val onceId: String, val fingerprint: String, val answer: RecordedAnswer) : GateEffect

    /** Nobody waits for [call] any more: cancel it at the server. */
    data class Cancel(val call: Long) : GateEffect

    /** Tell the other instances that [fingerprint] was in flight at a crash. */
    data class ReportCrash(val fingerprint: String) : GateEffect
}
