/*
 * Sends queued calls when a slot is free. A request that is suspected of crashing servers runs alone.
 */
package rhubarbspool.gate

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Dispatches the queued calls of one gate, as many as its server has slots. */
internal class Dispatcher(private val state: GateState, private val admission: Admission) {
    /** Enqueues [call], then dispatches at [now]. */
    fun enqueue(call: GateCall, now: Long): List<GateEffect> {
        if (!state.open || call.members.isEmpty()) return state.fail(call, admission.gateMoved())
        val drainTime = maxOf(state.slots.serviceTime, MINIMUM_SERVICE_MILLISECONDS) / state.slots.allowed
        state.queue.add(call.request, now, drainTime)
        return dispatch(now)
    }

    /** Sends queued calls at [now] while slots are free and no suspect is in flight. */
    fun dispatch(now: Long): List<GateEffect> {
        val effects = mutableListOf<GateEffect>()
        while (state.open && state.inFlight < state.slots.allowed && !isSuspectInFlight(now)) {
            val next = state.queue.poll { state.inFlight == 0 || !isSuspect(it, now) } ?: break
            effects += sendOrExpire(state.calls.getValue(next.id), now)
        }
        return effects
    }

    /** Refuses requests whose deadline has passed at [now], and cancels calls that nobody waits for. */
    fun expire(now: Long): List<GateEffect> = state.calls.values.toList().flatMap { call ->
        val expired = call.members.values.filter { it.deadlineAt <= now }
        if (expired.isEmpty()) emptyList() else expire(call, expired)
    }

    private fun expire(call: GateCall, expired: List<GateRequest>): List<GateEffect> {
        val kind = if (call.isSent) ErrorKind.DEADLINE_AFTER_RUN else ErrorKind.DEADLINE_BEFORE_RUN
        expired.forEach { state.detach(it.id, call) }
        val error = RequestError(kind, retryAfterMilliseconds = admission.waitTime().toLong())
        val refusals = expired.map { GateEffect.Refuse(it.id, call.errorToReport(error)) }
        return refusals + cancelIfUnused(call)
    }

    /** Cancels [call], or removes it if it was not sent, once no request waits for it. */
    fun cancelIfUnused(call: GateCall): List<GateEffect> = when {
        call.members.isNotEmpty() || call.recording -> emptyList()
        call.isSent -> listOf(GateEffect.Cancel(call.request.id))
        else -> emptyList<GateEffect>().also { state.removeCall(call, notRun = true) }
    }

    private fun isSuspectInFlight(now: Long): Boolean = state.sentCalls.any { isSuspect(it.request, now) }

    private fun isSuspect(request: GateRequest, now: Long) = state.suspects.mustRunAlone(request.fingerprint, now)

    private fun sendOrExpire(call: GateCall, now: Long): List<GateEffect> {
        if (call.deadlineAt <= now) {
            val retryAfter = admission.waitTime().toLong()
            return state.fail(call, RequestError(ErrorKind.DEADLINE_BEFORE_RUN, retryAfterMilliseconds = retryAfter))
        }
        call.sentAt = now
        state.sentCalls += call
        call.attempts++
        state.inFlight++
        return listOf(GateEffect.Dispatch(call.request))
    }

    private companion object {
        const val MINIMUM_SERVICE_MILLISECONDS = 1.0
    }
}
