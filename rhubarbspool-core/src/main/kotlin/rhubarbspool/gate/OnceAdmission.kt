/*
 * Once-only requests: a repeat joins the first or gets its recorded outcome, and nothing runs before it is
 * recorded that it is about to.
 */
package rhubarbspool.gate

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Takes once-only requests for one gate. */
internal class OnceAdmission(
    private val state: GateState,
    private val admission: Admission,
    private val dispatcher: Dispatcher,
) {
    /** Takes [request] with the caller's id [onceId] at [now]. */
    fun offer(request: GateRequest, onceId: String, now: Long): List<GateEffect> {
        val entry = state.once[onceId]
        val reused = entry != null && entry.fingerprint != request.fingerprint
        if (reused) return refuse(request, RequestError(ErrorKind.REQUEST_ID_REUSED))
        return meet(request, onceId, entry, now)
    }

    /** Takes in what the table said to the record of the call [id]. */
    fun resolved(id: Long, result: IntentResult, now: Long): List<GateEffect> {
        val call = state.calls[id] ?: return emptyList()
        call.recording = false
        return when (result) {
            is IntentResult.Recorded -> recorded(call, now)
            is IntentResult.Duplicate -> duplicate(call, result, now)
            is IntentResult.Unavailable -> unavailable(call, now)
        }
    }

    private fun meet(
        request: GateRequest,
        onceId: String,
        entry: OnceRegistry.Entry?,
        now: Long,
    ): List<GateEffect> = when (entry) {
        is OnceRegistry.Entry.Open -> state.attach(request, state.calls.getValue(entry.call))
        is OnceRegistry.Entry.Done -> listOf(GateEffect.Replay(request.id, entry.answer))
        is OnceRegistry.Entry.Unclear -> refuse(request, unclear())
        is OnceRegistry.Entry.NotRun, null -> start(request, onceId, entry != null, now)
    }

    private fun start(request: GateRequest, onceId: String, hasRecord: Boolean, now: Long): List<GateEffect> {
        val refusal = earlyRefusal(request, hasRecord, now)
        if (refusal != null) return refuse(request, refusal)
        val call = state.start(request)
        state.once[onceId] = OnceRegistry.Entry.Open(request.fingerprint, request.id)
        call.recording = !hasRecord
        return if (hasRecord) recorded(call, now) else listOf(GateEffect.RecordIntent(request))
    }

    /** Overload is looked at before the record only where the refusal can be told as it is. */
    private fun earlyRefusal(request: GateRequest, hasRecord: Boolean, now: Long): RequestError? = when {
        !hasRecord && now < state.suspectUntil -> unclear(state.suspectUntil - now)
        hasRecord || request.firstAttempt -> admission.overload(request, now)?.copy(noEarlierAttemptRan = hasRecord)
        else -> null
    }

    private fun recorded(call: GateCall, now: Long): List<GateEffect> {
        call.isNew = true
        val overload = if (call.members.isEmpty()) null else admission.overload(call.request, now)
        return if (overload == null) dispatcher.admit(call, now) else state.end(call, overload)
    }

    private fun unavailable(call: GateCall, now: Long): List<GateEffect> {
        if (state.unrecordedAllowed) return dispatcher.admit(call, now)
        val error = RequestError(ErrorKind.RECORD_UNAVAILABLE, retryAfterMilliseconds = Admission.BACK_SOON)
        val effects = state.end(call, error)
        call.request.onceId?.let(state.once::remove)
        return effects
    }

    private fun duplicate(call: GateCall, found: IntentResult.Duplicate, now: Long): List<GateEffect> {
        val onceId = requireNotNull(call.request.onceId)
        val members = call.members.values.toList()
        state.drop(call, notRun = false)
        state.once.remove(onceId)
        if (found.fingerprint != call.request.fingerprint) {
            return members.flatMap { refuse(it, RequestError(ErrorKind.REQUEST_ID_REUSED)) }
        }
        state.once[onceId] = if (found.answer != null) {
            OnceRegistry.Entry.Done(found.fingerprint, found.answer, now)
        } else {
            OnceRegistry.Entry.Unclear(found.fingerprint, now)
        }
        return members.flatMap { offer(it, onceId, now) }
    }

    private fun refuse(request: GateRequest, error: RequestError) = listOf(GateEffect.Refuse(request.id, error))

    private fun unclear(retryAfter: Long? = null) =
        RequestError(ErrorKind.OUTCOME_UNKNOWN, retryAfterMilliseconds = retryAfter)
}
