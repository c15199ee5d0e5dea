/*
 * Admission of once-only requests. A repeat waits for the first request or gets its recorded outcome, and nothing is
 * sent before the intent to run it is recorded at the table.
 */
package rhubarbspool.gate

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Admits the once-only requests of one gate. */
internal class OnceAdmission(
    private val state: GateState,
    private val admission: Admission,
    private val dispatcher: Dispatcher,
) {
    /** Starts, joins, replays or refuses [request] according to what is known of the caller's id [onceId]. */
    fun submit(request: GateRequest, onceId: String, now: Long): List<GateEffect> {
        val entry = state.once[onceId]
        val idReused = entry != null && entry.fingerprint != request.fingerprint
        if (idReused) return refuse(request, RequestError(ErrorKind.REQUEST_ID_REUSED))
        return submitWithEntry(request, onceId, entry, now)
    }

    /** Continues the call [id] with the [result] of recording its intent. */
    fun onIntentResolved(id: Long, result: IntentResult, now: Long): List<GateEffect> {
        val call = state.calls[id] ?: return emptyList()
        call.recording = false
        return when (result) {
            is IntentResult.Recorded -> onRecorded(call, now)
            is IntentResult.Duplicate -> onDuplicate(call, result, now)
            is IntentResult.Unavailable -> onUnavailable(call, now)
        }
    }

    private fun submitWithEntry(
        request: GateRequest,
        onceId: String,
        entry: OnceRegistry.Entry?,
        now: Long,
    ): List<GateEffect> = when (entry) {
        is OnceRegistry.Entry.InProgress -> state.attach(request, state.calls.getValue(entry.call))
        is OnceRegistry.Entry.Completed -> listOf(GateEffect.Replay(request.id, entry.answer))
        is OnceRegistry.Entry.Unknown -> refuse(request, outcomeUnknown())
        is OnceRegistry.Entry.NotRun, null -> startOrRefuse(request, onceId, entry != null, now)
    }

    private fun startOrRefuse(request: GateRequest, onceId: String, hasRecord: Boolean, now: Long): List<GateEffect> {
        val refusal = refusalBeforeRecord(request, hasRecord, now)
        if (refusal != null) return refuse(request, refusal)
        val call = state.startCall(request)
        state.once[onceId] = OnceRegistry.Entry.InProgress(request.fingerprint, request.id)
        call.recording = !hasRecord
        return if (hasRecord) onRecorded(call, now) else listOf(GateEffect.RecordIntent(request))
    }

    /** Overload is checked before recording only if the refusal can say truthfully whether an attempt ran. */
    private fun refusalBeforeRecord(request: GateRequest, hasRecord: Boolean, now: Long): RequestError? = when {
        !hasRecord && now < state.suspectUntil -> outcomeUnknown(state.suspectUntil - now)
        hasRecord || request.firstAttempt -> admission.overload(request, now)?.copy(noEarlierAttemptRan = hasRecord)
        else -> null
    }

    private fun onRecorded(call: GateCall, now: Long): List<GateEffect> {
        call.isNew = true
        val overload = if (call.members.isEmpty()) null else admission.overload(call.request, now)
        return if (overload == null) dispatcher.enqueue(call, now) else state.fail(call, overload)
    }

    private fun onUnavailable(call: GateCall, now: Long): List<GateEffect> {
        if (state.unrecordedAllowed) return dispatcher.enqueue(call, now)
        val error = RequestError(ErrorKind.RECORD_UNAVAILABLE, retryAfterMilliseconds = Admission.RETRY_AFTER)
        val effects = state.fail(call, error)
        call.request.onceId?.let(state.once::remove)
        return effects
    }

    private fun onDuplicate(call: GateCall, found: IntentResult.Duplicate, now: Long): List<GateEffect> {
        val onceId = requireNotNull(call.request.onceId)
        val members = call.members.values.toList()
        state.removeCall(call, notRun = false)
        state.once.remove(onceId)
        if (found.fingerprint != call.request.fingerprint) {
            return members.flatMap { refuse(it, RequestError(ErrorKind.REQUEST_ID_REUSED)) }
        }
        state.once[onceId] = if (found.answer != null) {
            OnceRegistry.Entry.Completed(found.fingerprint, found.answer, now)
        } else {
            OnceRegistry.Entry.Unknown(found.fingerprint, now)
        }
        return members.flatMap { submit(it, onceId, now) }
    }

    private fun refuse(request: GateRequest, error: RequestError) = listOf(GateEffect.Refuse(request.id, error))

    private fun outcomeUnknown(retryAfter: Long? = null) =
        RequestError(ErrorKind.OUTCOME_UNKNOWN, retryAfterMilliseconds = retryAfter)
}
