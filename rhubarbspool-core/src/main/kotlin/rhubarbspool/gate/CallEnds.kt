/*
 * What follows from the end of a call: the record of a once-only request, another try, or the final answer.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.RunKind
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Concludes calls of one gate. */
internal class CallEnds(private val state: GateState, private val admission: Admission) {
    private val budget = RetryBudget()
    private val recentlyBroken = HashMap<String, Long>()

    /** Takes in that [call] ended at [now] with [end]. */
    fun ended(call: GateCall, end: CallEnd, slotFree: Boolean, now: Long): List<GateEffect> {
        val took = now - (call.sentAt ?: now)
        if (call.isSent && slotFree) state.inFlight--
        call.sentAt = null
        state.sent -= call
        return when (end) {
            is CallEnd.Answered -> answered(call, end, took, now)
            is CallEnd.Shed -> shed(call, end, now)
            is CallEnd.NotSent -> notSent(call, now)
            is CallEnd.Broken -> broken(call, end, now)
        }
    }

    /** Blames what was in flight when the server crashed at [now]. */
    fun serverCrashed(now: Long): List<GateEffect> {
        state.slots.becameCold()
        recentlyBroken.values.removeAll { now - it > CRASH_WINDOW_MILLISECONDS }
        val present = state.sent.map { it.request.fingerprint }
        val blamed = (recentlyBroken.keys + present).toSet()
        recentlyBroken.clear()
        blamed.forEach { state.suspects.crashed(it, now) }
        return blamed.map { GateEffect.ReportCrash(it) } + refuseQuarantined(now)
    }

    private fun answered(call: GateCall, end: CallEnd.Answered, took: Long, now: Long): List<GateEffect> {
        state.slots.answered(took)
        budget.answered()
        if (state.inFlight == 0) state.suspects.cleared(call.request.fingerprint)
        val onceId = call.request.onceId
        val record = end.record ?: RecordedAnswer(end.status, null, null)
        state.drop(call, notRun = false)
        if (onceId == null) return emptyList()
        state.once[onceId] = OnceRegistry.Entry.Done(call.request.fingerprint, record, now)
        return listOf(GateEffect.RecordOutcome(onceId, call.request.fingerprint, record))
    }

    private fun shed(call: GateCall, end: CallEnd.Shed, now: Long): List<GateEffect> {
        state.slots.shed()
        val again = call.request.kind == RunKind.REPEATABLE && mayRetry(call, now)
        val error = RequestError(ErrorKind.REJECTED, retryAfterMilliseconds = end.retryAfterMilliseconds)
        return if (again) requeue(call) else state.end(call, error)
    }

    private fun notSent(call: GateCall, now: Long): List<GateEffect> {
        state.slots.becameCold()
        val error = RequestError(ErrorKind.SERVER_UNREACHABLE, retryAfterMilliseconds = Admission.BACK_SOON)
        return if (mayRetry(call, now)) requeue(call) else state.end(call, error)
    }

    private fun broken(call: GateCall, end: CallEnd.Broken, now: Long): List<GateEffect> {
        recentlyBroken[call.request.fingerprint] = now
        call.mayHaveRun = true
        if (end.byServer) state.slots.becameCold()
        val again = call.request.kind == RunKind.REPEATABLE && !end.answerBegan && mayRetry(call, now)
        val kind = if (end.answerBegan) ErrorKind.ANSWER_CUT_SHORT else ErrorKind.OUTCOME_UNKNOWN
        return if (again) requeue(call) else state.end(call, RequestError(kind), ranAt = now)
    }

    private fun mayRetry(call: GateCall, now: Long): Boolean {
        val useful = state.open && call.members.isNotEmpty() && call.attempts < MAXIMUM_ATTEMPTS
        if (!useful || now + state.slots.serviceTime >= call.deadlineAt) return false
        val quarantined = state.suspects.quarantined(call.request.fingerprint, now)
        return !quarantined && (!state.policy.retryBudget || budget.take())
    }

    private fun requeue(call: GateCall): List<GateEffect> {
        state.queue.addFirst(call.request)
        return emptyList()
    }

    private fun refuseQuarantined(now: Long): List<GateEffect> = state.queue.requests
        .filter { state.suspects.quarantined(it.fingerprint, now) }
        .flatMap { state.end(state.calls.getValue(it.id), admission.quarantined(it, now)) }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val CRASH_WINDOW_MILLISECONDS = 1_000L
    }
}
