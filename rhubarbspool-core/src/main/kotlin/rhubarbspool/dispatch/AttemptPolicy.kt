/*
 * What follows from the end of a call to a server: its answer is passed on, another try is made, or the request ends
 * with an error. A request that may have run is repeated only if it is repeatable, and only an answer of not having
 * run, or nothing sent, counts as not run.
 */
package rhubarbspool.dispatch

import rhubarbspool.errors.ErrorKind

/** The next step of a request. */
sealed interface NextStep {
    /** Pass the server's answer on. */
    data object RelayAnswer : NextStep

    /** Try again after [delayMilliseconds]. */
    data class Retry(val delayMilliseconds: Long) : NextStep

    /** End the request with [error]. */
    data class Fail(val error: ErrorKind) : NextStep
}

/**
 * Where a request stands.
 *
 * @property runs servers that may have begun to run it.
 * @property refusals times that servers refused it without running it, or that nothing was sent.
 * @property onlyServer whether no other server can run it.
 */
data class AttemptState(
    val repeatable: Boolean,
    val runs: Int,
    val refusals: Int,
    val maximumRuns: Int,
    val remainingMilliseconds: Long,
    val onlyServer: Boolean,
)

/** Decides after each call. */
object AttemptPolicy {
    private const val MAXIMUM_REFUSALS = 6

    /** A move that takes longer than the tries so far has stalled; it ends when another instance coordinates. */
    private const val MAXIMUM_MISDIRECTIONS = 2

    /** Less time than this is too short for another try. */
    private const val MINIMUM_ATTEMPT_MILLISECONDS = 60L

    /** A key on the move is held by its next owner once the last one's running work has ended. */
    private const val MOVING_KEY_DELAY_MILLISECONDS = 150L
    private const val ONLY_SERVER_DELAY_MILLISECONDS = 50L

    /** The step after [outcome]; [acquireRetry] takes a retry from the budget. */
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
