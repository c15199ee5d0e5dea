/*
 * What follows from the result of a call: the outcome record of a once-only request, a retry, or the final error.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.RunKind
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Completes the calls of one gate. */
internal class CallCompletion(private val state: GateState, private val admission: Admission) {
    private val budget = RetryBudget()
    private val recentlyBroken = HashMap<String, Long>()

    /** Completes or retries [call], which ended at [now]; its slot is released if [slotFree]. */
    fun complete(call: GateCall, result: CallResult, slotFree: Boolean, now: Long): List<GateEffect> {
        val durationMilliseconds = now - (call.sentAt ?: now)
        if (call.isSent && slotFree) state.inFlight--
        call.sentAt = null
        state.sentCalls -= call
        return when (result) {
            is CallResult.Answered -> onAnswered(call, result, durationMilliseconds, now)
            is CallResult.Shed -> onShed(call, result, now)
            is CallResult.NotSent -> onNotSent(call, now)
            is CallResult.Broken -> onBroken(call, result, now)
        }
    }

    /** Marks requests as suspects that were in flight, or broke shortly before, when the server crashed at [now]. */
    fun onServerCrashed(now: Long): List<GateEffect> {
        state.slots.resetToCold()
        recentlyBroken.values.removeAll { now - it > CRASH_WINDOW_MILLISECONDS }
        val inFlight = state.sentCalls.map { it.request.fingerprint }
        val suspected = (recentlyBroken.keys + inFlight).toSet()
        recentlyBroken.clear()
        suspected.forEach { state.suspects.recordCrash(it, now) }
        return suspected.map { GateEffect.ReportCrash(it) } + refuseQuarantined(now)
    }

    private fun onAnswered(
        call: GateCall,
        result: CallResult.Answered,
        durationMilliseconds: Long,
        now: Long,
    ): List<GateEffect> {
        state.slots.recordAnswer(durationMilliseconds)
        budget.recordAnswer()
        if (state.inFlight == 0) state.suspects.clear(call.request.fingerprint)
        val onceId = call.request.onceId
        val record = result.record ?: RecordedAnswer(result.status, null, null)
        state.removeCall(call, notRun = false)
        if (onceId == null) return emptyList()
        state.once[onceId] = OnceRegistry.Entry.Completed(call.request.fingerprint, record, now)
        return listOf(GateEffect.RecordOutcome(onceId, call.request.fingerprint, record))
    }

    private fun onShed(call: GateCall, result: CallResult.Shed, now: Long): List<GateEffect> {
        state.slots.onShed()
        val retry = call.request.kind == RunKind.REPEATABLE && mayRetry(call, now)
        val error = RequestError(ErrorKind.REJECTED, retryAfterMilliseconds = result.retryAfterMilliseconds)
        return if (retry) requeue(call) else state.fail(call, error)
    }

    private fun onNotSent(call: GateCall, now: Long): List<GateEffect> {
        state.slots.resetToCold()
        val error = RequestError(ErrorKind.SERVER_UNREACHABLE, retryAfterMilliseconds = Admission.RETRY_AFTER)
        return if (mayRetry(call, now)) requeue(call) else state.fail(call, error)
    }

    private fun onBroken(call: GateCall, result: CallResult.Broken, now: Long): List<GateEffect> {
        recentlyBroken[call.request.fingerprint] = now
        call.mayHaveRun = true
        if (result.byServer) state.slots.resetToCold()
        val retry = call.request.kind == RunKind.REPEATABLE && !result.answerBegan && mayRetry(call, now)
        val kind = if (result.answerBegan) ErrorKind.ANSWER_CUT_SHORT else ErrorKind.OUTCOME_UNKNOWN
        return if (retry) requeue(call) else state.fail(call, RequestError(kind), ranAt = now)
    }

    private fun mayRetry(call: GateCall, now: Long): Boolean {
        val retryable = state.open && call.members.isNotEmpty() && call.attempts < MAXIMUM_ATTEMPTS
        if (!retryable || now + state.slots.serviceTime >= call.deadlineAt) return false
        val quarantined = state.suspects.isQuarantined(call.request.fingerprint, now)
        return !quarantined && (!state.policy.retryBudget || budget.tryAcquire())
    }

    private fun requeue(call: GateCall): List<GateEffect> {
        state.queue.addFirst(call.request)
        return emptyList()
    }

    private fun refuseQuarantined(now: Long): List<GateEffect> = state.queue.requests
        .filter { state.suspects.isQuarantined(it.fingerprint, now) }
        .flatMap { state.fail(state.calls.getValue(it.id), admission.quarantineError(it, now)) }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val CRASH_WINDOW_MILLISECONDS = 1_000L
    }
}
