/*
 * What is known about whether a request has run. A status that promises a caller that its request has not run, and
 * never will, is only available while the record proves it; after any final status no further attempt begins.
 */
package rhubarbspool.dispatch

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.PromiseStatuses
import rhubarbspool.errors.RequestError

/** Status of a final response to a caller; only an [ExecutionRecord] creates it. */
@JvmInline
value class FinalStatus internal constructor(val code: Int)

/** One send of a request to a server. */
class Attempt internal constructor()

/**
 * What the complete response to an attempt says.
 *
 * @property statesNotExecuted whether the server states that it did not execute the request.
 * @property namesRequest whether it names the attempt's request and no other; a copy of another response does not.
 */
data class AttemptResponse(val status: Int, val statesNotExecuted: Boolean, val namesRequest: Boolean) {
    /**
     * Whether the response proves that the request was not executed. A statement that its own status contradicts, such
     * as beside a success or a fault, proves nothing.
     */
    val provesNotExecuted: Boolean get() = statesNotExecuted && namesRequest && status in REFUSAL_STATUSES

    private companion object {
        /** Statuses with which a server refuses a request. */
        val REFUSAL_STATUSES = setOf(400, 421, 429, 503)
    }
}

/** The attempts of one request and what is known of each. Not thread-safe. */
class ExecutionRecord {
    private val unresolved = HashSet<Attempt>()

    /** Number of attempts that may have run the request, or may still do so. */
    val possibleRuns: Int get() = unresolved.size

    /** Number of attempts so far. */
    var attemptCount: Int = 0
        private set

    /** Whether the caller was sent a final status. */
    var isFinal: Boolean = false
        private set

    /** Begins an attempt; null if the caller was sent a final status, after which the request must not be sent. */
    fun begin(): Attempt? {
        if (isFinal) return null
        attemptCount++
        return Attempt().also { unresolved += it }
    }

    /**
     * Records the complete [response] to [attempt]; returns whether it proves that the attempt was not executed. An
     * attempt without such a response may have run.
     */
    fun resolve(attempt: Attempt, response: AttemptResponse): Boolean =
        response.provesNotExecuted && unresolved.remove(attempt)

    /** Makes [code] final; null, and nothing changes, if it would promise what is not proved. */
    fun finalStatus(code: Int): FinalStatus? {
        if (code in PromiseStatuses && unresolved.isNotEmpty()) return null
        isFinal = true
        return FinalStatus(code)
    }

    /** [error] if it is true of this request, or else [ErrorKind.OUTCOME_UNKNOWN]. */
    fun truthful(error: RequestError): RequestError {
        val isTrue = unresolved.isEmpty() || !error.kind.statesNotRun
        return if (isTrue) error else error.copy(kind = ErrorKind.OUTCOME_UNKNOWN)
    }

    /** Makes the status of [error] final. */
    fun finalStatus(error: RequestError): FinalStatus {
        isFinal = true
        return FinalStatus(truthful(error).kind.status)
    }
}
