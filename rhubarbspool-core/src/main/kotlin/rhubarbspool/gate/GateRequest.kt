/*
 * Requests, call results and effects of the gate of a backend server. Times are monotonic milliseconds of the gate's
 * process.
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
 * @property coalesceKey equal for requests that may share one answer; null if sharing is off.
 * @property onceId the caller's request id on a route of kind once.
 * @property firstAttempt whether the caller declares this the first request with its id.
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

/** The recorded answer of a once-only request, replayed to callers that repeat it. */
data class RecordedAnswer(val status: Int, val contentType: String?, val body: String?)

/** Result of one call to the server. */
sealed interface CallResult {
    /** A complete answer arrived; [record] is what is replayed to repeats of a once-only request. */
    data class Answered(val status: Int, val record: RecordedAnswer? = null) : CallResult

    /** The server shed the request before running it and asked for a retry after [retryAfterMilliseconds]. */
    data class Shed(val retryAfterMilliseconds: Long?) : CallResult

    /** No byte of the request was sent. */
    data object NotSent : CallResult

    /**
     * Part of the request was sent and no complete answer arrived. [answerBegan]: the caller has received part of an
     * answer. [byServer]: the server closed the connection rather than this side.
     */
    data class Broken(val answerBegan: Boolean = false, val byServer: Boolean = false) : CallResult
}

/** Result of recording the intent to run a once-only request. */
sealed interface IntentResult {
    /** The table has stored the record, and no earlier one existed. */
    data object Recorded : IntentResult

    /** An earlier gate recorded this id; [answer] is null unless the outcome was recorded too. */
    data class Duplicate(val fingerprint: String, val answer: RecordedAnswer?) : IntentResult

    /** The table can't be reached, or its response was lost. */
    data object Unavailable : IntentResult
}

/** An action that the edge executes for the gate. */
sealed interface GateEffect {
    /** Send the call of [request] to the server. The call is identified by the id of this request. */
    data class Dispatch(val request: GateRequest) : GateEffect

    /** Deliver the answer of [call] to [request] too. */
    data class Attach(val request: Long, val call: Long) : GateEffect

    /** Refuse [request] with [error], or route it elsewhere; [RequestError.forOnceOnly] limits what may be reported. */
    data class Refuse(val request: Long, val error: RequestError) : GateEffect

    /** Answer [request] with the recorded [answer] of an earlier run. */
    data class Replay(val request: Long, val answer: RecordedAnswer) : GateEffect

    /** Record at the table that [request] is about to run. */
    data class RecordIntent(val request: GateRequest) : GateEffect

    /** Record the outcome of the once-only request [onceId] at the table. */
    data class RecordOutcome(val onceId: String, val fingerprint: String, val answer: RecordedAnswer) : GateEffect

    /** Cancel [call] at the server, as no request waits for it. */
    data class Cancel(val call: Long) : GateEffect

    /** Report to the other instances that [fingerprint] was in flight at a crash. */
    data class ReportCrash(val fingerprint: String) : GateEffect
}
