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
    data object PassOn : NextStep

    /** Try again after [delayMilliseconds]. */
    data class TryAgain(val delayMilliseconds: Long) : NextStep

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
    private const val SHORTEST_TRY_MILLISECONDS = 60L

    /** A key on the move is held by its next owner once the last one's running work has ended. */
    private const val MOVING_MILLISECONDS = 150L
    private const val FULL_MILLISECONDS = 50L

    /** The step after [outcome]; [takeRetry] takes a retry from the budget. */
    fun after(outcome: CallOutcome, state: AttemptState, takeRetry: () -> Boolean): NextStep = when (outcome) {
        CallOutcome.ANSWERED -> NextStep.PassOn
        CallOutcome.FAULTY -> if (mayRunAgain(state) && takeRetry()) NextStep.TryAgain(0) else NextStep.PassOn
        CallOutcome.SHED, CallOutcome.MISDIRECTED -> refused(outcome, state, takeRetry)
        CallOutcome.UNREACHABLE -> againOr(ErrorKind.SERVER_UNREACHABLE, mayAsk(state), delayOf(outcome, state))
        CallOutcome.BROKEN -> againOr(ErrorKind.OUTCOME_UNKNOWN, mayRunAgain(state) && takeRetry())
        CallOutcome.CANCELLED -> againOr(ErrorKind.OVERLOADED, mayAsk(state))
    }

    private fun againOr(error: ErrorKind, again: Boolean, delay: Long = 0): NextStep =
        if (again) NextStep.TryAgain(delay) else NextStep.Fail(error)

    private fun refused(outcome: CallOutcome, state: AttemptState, takeRetry: () -> Boolean): NextStep {
        val stalled = outcome == CallOutcome.MISDIRECTED && state.refusals > MAXIMUM_MISDIRECTIONS
        val error = if (state.runs > 0) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.REJECTED
        return againOr(error, !stalled && mayAsk(state) && takeRetry(), delayOf(outcome, state))
    }

    private fun delayOf(outcome: CallOutcome, state: AttemptState): Long = when {
        outcome == CallOutcome.MISDIRECTED -> MOVING_MILLISECONDS
        state.onlyServer -> FULL_MILLISECONDS
        else -> 0
    }

    private fun mayAsk(state: AttemptState): Boolean =
        state.refusals < MAXIMUM_REFUSALS && state.remainingMilliseconds > SHORTEST_TRY_MILLISECONDS

    private fun mayRunAgain(state: AttemptState): Boolean =
        state.repeatable && state.runs < state.maximumRuns && mayAsk(state)
}
