/*
 * The complete list of errors that a caller can receive, each with its HTTP status, outcome and summary.
 *
 * Every error response that the system generates itself states the outcome of the request: a caller may retry a
 * request that was certainly not run, but must not blindly retry one whose outcome is unknown.
 */
package rhubarbspool.errors

/** Outcome of a request that the system answered with an error of its own. */
enum class Outcome(val label: String) {
    /** No byte of the request could have reached a backend server. */
    NOT_RUN("not-run"),

    /** A backend server refused the request before running it. */
    REJECTED_BY_SERVER("rejected-by-server"),

    /** The request may have run; its outcome can't be determined. */
    UNKNOWN("unknown"),
}

/** Statuses that promise a caller that its request has not run and never will, so that it may safely be sent again. */
object PromiseStatuses {
    private val codes = setOf(
        HttpStatus.REQUEST_TIMEOUT,
        HttpStatus.MISDIRECTED,
        HttpStatus.TOO_MANY_REQUESTS,
        HttpStatus.UNAVAILABLE,
    )

    /** Whether [code] makes that promise. */
    operator fun contains(code: Int): Boolean = code in codes
}

/** HTTP statuses of the error responses that the system generates itself. */
internal object HttpStatus {
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val REQUEST_TIMEOUT = 408
    const val CONTENT_TOO_LARGE = 413
    const val EXPECTATION_FAILED = 417
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val HEADERS_TOO_LARGE = 431
    const val INTERNAL_ERROR = 500
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}

/**
 * An error that a caller can receive.
 *
 * @property status HTTP status of the response.
 * @property outcome whether the request was run.
 * @property retryable whether the same request may succeed later; if so, the response says when to retry.
 * @property summary one sentence for the response body.
 */
enum class ErrorKind(val status: Int, val outcome: Outcome, val retryable: Boolean, val summary: String) {
    MALFORMED_REQUEST(HttpStatus.BAD_REQUEST, Outcome.NOT_RUN, false, "The request is not valid HTTP."),
    REQUEST_ID_MISSING(
        HttpStatus.BAD_REQUEST,
        Outcome.NOT_RUN,
        false,
        "This route runs once only and needs an Idempotency-Key header."
    ),
    REQUEST_ID_REUSED(
        HttpStatus.UNPROCESSABLE,
        Outcome.NOT_RUN,
        false,
        "The Idempotency-Key was used before for another request."
    ),
    UNKNOWN_SERVICE(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false, "No such service is configured."),
    UNKNOWN_ROUTE(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false, "The service has no such route."),
    METHOD_NOT_ALLOWED(HttpStatus.METHOD_NOT_ALLOWED, Outcome.NOT_RUN, false, "The route exists under another method."),
    KEY_MISSING(HttpStatus.BAD_REQUEST, Outcome.NOT_RUN, false, "The route needs a key and the request names none."),
    HEADERS_TOO_LARGE(
        HttpStatus.HEADERS_TOO_LARGE,
        Outcome.NOT_RUN,
        false,
        "The request line or the headers are too large."
    ),
    BODY_TOO_LARGE(HttpStatus.CONTENT_TOO_LARGE, Outcome.NOT_RUN, false, "The request body is too large."),
    EXPECTATION_FAILED(HttpStatus.EXPECTATION_FAILED, Outcome.NOT_RUN, false, "The Expect header can't be met."),
    TOO_MANY_CONNECTIONS(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "The instance has no room for more connections."
    ),
    INSTANCE_OVERLOADED(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "The instance has more to do than it can."),
    OVERLOADED(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "The server of this key can't meet the deadline."),
    DEADLINE_BEFORE_RUN(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "The deadline passed before the request was run."
    ),
    NO_OWNER(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "No server owns the key at the moment."),
    GATE_UNREACHABLE(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "The instance in charge of the key's server can't be reached."
    ),
    GATE_MOVED(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "The instance in charge of the key's server is changing."
    ),
    SERVER_UNREACHABLE(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "The key's server can't be reached."),
    RECORD_UNAVAILABLE(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "A once-only request can't be recorded at the moment."
    ),
    NO_CONFIGURATION(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "The instance has no configuration yet."),
    BODY_MEMORY_EXHAUSTED(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "Too many bodies are being received."),
    STOPPING(HttpStatus.UNAVAILABLE, Outcome.NOT_RUN, true, "The instance is being stopped."),
    QUARANTINED(
        HttpStatus.UNAVAILABLE,
        Outcome.NOT_RUN,
        true,
        "This request stopped several servers and is not run for now."
    ),
    REJECTED(
        HttpStatus.UNAVAILABLE,
        Outcome.REJECTED_BY_SERVER,
        true,
        "The server refused the request before running it."
    ),
    ATTEMPT_UNCLEAR(
        HttpStatus.GATEWAY_TIMEOUT,
        Outcome.UNKNOWN,
        true,
        "This attempt was not run; an earlier one under the same Idempotency-Key may have been.",
    ),
    OUTCOME_UNKNOWN(
        HttpStatus.GATEWAY_TIMEOUT,
        Outcome.UNKNOWN,
        true,
        "The request may have run; its outcome is not known."
    ),
    GATE_LOST(
        HttpStatus.GATEWAY_TIMEOUT,
        Outcome.UNKNOWN,
        true,
        "The instance in charge stopped answering; the request may have run."
    ),
    DEADLINE_AFTER_RUN(
        HttpStatus.GATEWAY_TIMEOUT,
        Outcome.UNKNOWN,
        true,
        "The deadline passed while the request was running."
    ),
    ANSWER_CUT_SHORT(HttpStatus.BAD_GATEWAY, Outcome.UNKNOWN, false, "The server's answer ended before it was whole."),
    ANSWER_INVALID(HttpStatus.BAD_GATEWAY, Outcome.UNKNOWN, false, "The server's answer was not valid HTTP."),
    REFUSAL_UNPROVEN(
        HttpStatus.BAD_GATEWAY,
        Outcome.UNKNOWN,
        false,
        "The server refused the request without stating that it was not executed."
    ),
    INTERNAL(HttpStatus.INTERNAL_ERROR, Outcome.UNKNOWN, false, "An unexpected fault; the log has its cause."),
    ;

    /** Whether the error tells the caller that the request was not run. */
    val statesNotRun: Boolean get() = outcome != Outcome.UNKNOWN
}

/**
 * An error of [kind].
 *
 * @property detail description of the cause, for the log.
 * @property retryAfterMilliseconds time after which the caller may retry; null when it is not known.
 * @property noEarlierAttemptRan for a once-only request that was not run: whether it is certain that no earlier
 *   attempt under the same request id was run either.
 */
data class RequestError(
    val kind: ErrorKind,
    val detail: String = "",
    val retryAfterMilliseconds: Long? = null,
    val noEarlierAttemptRan: Boolean = false,
) {
    /**
     * Returns the error to report to the caller of a once-only request. That this attempt was not run doesn't rule
     * out that an earlier attempt under the same id was, so "not run" is reported only for a [firstAttempt], or when
     * [noEarlierAttemptRan] is set; otherwise the error becomes [ErrorKind.ATTEMPT_UNCLEAR].
     */
    fun forOnceOnly(firstAttempt: Boolean): RequestError {
        val mayHaveRunBefore =
            kind.outcome == Outcome.NOT_RUN && kind.retryable && !firstAttempt && !noEarlierAttemptRan
        return if (mayHaveRunBefore) copy(kind = ErrorKind.ATTEMPT_UNCLEAR, detail = "$kind $detail") else this
    }
}
