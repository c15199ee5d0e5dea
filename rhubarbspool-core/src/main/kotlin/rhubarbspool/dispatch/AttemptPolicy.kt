/*
 * Decides what follows a call to a backend server: its response is relayed, the request is retried, or it fails with an
 * error. A request that may have run is retried only if it is repeatable. It counts as not run only if the server
 * responded that it did not run it, or if nothing was sent.
 */
package rhubarbspool.dispatch

import rhubarbspool.errors.ErrorKind

/** The next step of a request. */
sealed interface NextStep {
    /** Relay the server's response to the caller. */
    data object RelayAnswer : NextStep

    /** Send the request again after [delayMilliseconds]. */
    data class Retry(val delayMilliseconds: Long) : NextStep

    /** Fail the request with [error]. */
    data class Fail(val error: ErrorKind) : NextStep
}

/**
 * State of a request after a call.
 *
 * @property runs number of servers that may have started to run it.
 * @property refusals number of calls that the server refused without running the request, or in which nothing was sent.
 * @property maximumRuns most servers that may start to run it.
 * @property remainingMilliseconds time until its deadline.
 * @property onlyServer whether no other server can run the request.
 */
data class AttemptState(
    val repeatable: Boolean,
    val runs: Int,
    val refusals: Int,
    val maximumRuns: Int,
    val remainingMilliseconds: Long,
    val onlyServer: Boolean,
)

/** Chooses the next step after each call. */
object AttemptPolicy {
    private const val MAXIMUM_REFUSALS = 6

    /**
     * Most retries after misdirected calls. A key move that takes longer has stalled; it ends only when another
     * instance becomes the coordinator.
     */
    private const val MAXIMUM_MISDIRECTIONS = 2

    /** With less time than this left, another attempt is pointless. */
    private const val MINIMUM_ATTEMPT_MILLISECONDS = 60L

    /** Delay while a key moves: its next owner holds it once the previous owner has finished its requests in flight. */
    private const val MOVING_KEY_DELAY_MILLISECONDS = 150L
    private const val ONLY_SERVER_DELAY_MILLISECONDS = 50L

    /** Next step after [outcome]; [acquireRetry] takes one retry from the budget and returns whether there was one. */
    fun nextStep(outcome: CallOutcome, state: AttemptState, acquireRetry: () -> Boolean): NextStep = when (outcome) {
        CallOutcome.ANSWERED -> NextStep.RelayAnswer
        CallOutcome.FAULTY -> if (mayRunAgain(state) && acquireRetry()) NextStep.Retry(0) else NextStep.RelayAnswer
        CallOutcome.SHED, CallOutcome.MISDIRECTED -> afterRefusal(outcome, state, acquireRetry)
        CallOutcome.UNREACHABLE ->
            retryOrFail(ErrorKind.SERVER_UNREACHABLE, mayRetry(state), retryDelay(outcome, state))
        CallOutcome.BROKEN -> retryOrFail(ErrorKind.OUTCOME_UNKNOWN, mayRunAgain(state) && acquireRetry())
        CallOutcome.CANCELLED -> retryOrFail(ErrorKind.OVERLOADED, mayRetry(state))
    }

    private fun retryOrFail(error: ErrorKind, retry: Boolean, delayMilliseconds: Long = 0): NextStep =
        if (retry) NextStep.Retry(delayMilliseconds) else NextStep.Fail(error)

    private fun afterRefusal(outcome: CallOutcome, state: AttemptState, acquireRetry: () -> Boolean): NextStep {
        val stalled = outcome == CallOutcome.MISDIRECTED && state.refusals > MAXIMUM_MISDIRECTIONS
        val error = if (state.runs > 0) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.REJECTED
        return retryOrFail(error, !stalled && mayRetry(state) && acquireRetry(), retryDelay(outcome, state))
    }

    private fun retryDelay(outcome: CallOutcome, state: AttemptState): Long = when {
        outcome == CallOutcome.MISDIRECTED -> MOVING_KEY_DELAY_MILLISECONDS
        state.onlyServer -> ONLY_SERVER_DELAY_MILLISECONDS
        else -> 0
    }

    private fun mayRetry(state: AttemptState): Boolean =
        state.refusals < MAXIMUM_REFUSALS && state.remainingMilliseconds > MINIMUM_ATTEMPT_MILLISECONDS

    private fun mayRunAgain(state: AttemptState): Boolean =
        state.repeatable && state.runs < state.maximumRuns && mayRetry(state)
}
