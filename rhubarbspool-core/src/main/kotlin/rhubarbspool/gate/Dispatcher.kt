/*
 * Sends what waits when a slot is free. A suspect runs alone.
 */
package rhubarbspool.gate

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Fills the slots of one gate's server. */
internal class Dispatcher(private val state: GateState, private val admission: Admission) {
    /** Adds [call] to what waits, and sends what may be sent at [now]. */
    fun admit(call: GateCall, now: Long): List<GateEffect> {
        if (!state.open || call.members.isEmpty()) return state.end(call, admission.moved())
        val drainTime = maxOf(state.slots.serviceTime, SHORTEST_SERVICE_MILLISECONDS) / state.slots.allowed
        state.queue.add(call.request, now, drainTime)
        return dispatch(now)
    }

    /** Sends what may be sent at [now]. */
    fun dispatch(now: Long): List<GateEffect> {
        val effects = mutableListOf<GateEffect>()
        while (state.open && state.inFlight < state.slots.allowed && !suspectRuns(now)) {
            val next = state.queue.take { state.inFlight == 0 || !isSuspect(it, now) } ?: break
            effects += sendOrDrop(state.calls.getValue(next.id), now)
        }
        return effects
    }

    /** Ends what missed its deadline at [now]. */
    fun expire(now: Long): List<GateEffect> = state.calls.values.toList().flatMap { call ->
        val late = call.members.values.filter { it.deadlineAt <= now }
        if (late.isEmpty()) emptyList() else expire(call, late)
    }

    private fun expire(call: GateCall, late: List<GateRequest>): List<GateEffect> {
        val kind = if (call.isSent) ErrorKind.DEADLINE_AFTER_RUN else ErrorKind.DEADLINE_BEFORE_RUN
        late.forEach { state.detach(it.id, call) }
        val error = RequestError(kind, retryAfterMilliseconds = admission.waitTime().toLong())
        val answers = late.map { GateEffect.Refuse(it.id, call.truth(error)) }
        return answers + abandon(call)
    }

    /** Cancels [call], or forgets it before it was sent, when nobody waits for it any more. */
    fun abandon(call: GateCall): List<GateEffect> = when {
        call.members.isNotEmpty() || call.recording -> emptyList()
        call.isSent -> listOf(GateEffect.Cancel(call.request.id))
        else -> emptyList<GateEffect>().also { state.drop(call, notRun = true) }
    }

    private fun suspectRuns(now: Long): Boolean = state.sent.any { isSuspect(it.request, now) }

    private fun isSuspect(request: GateRequest, now: Long) = state.suspects.runsAlone(request.fingerprint, now)

    private fun sendOrDrop(call: GateCall, now: Long): List<GateEffect> {
        if (call.deadlineAt <= now) {
            val retryAfter = admission.waitTime().toLong()
            return state.end(call, RequestError(ErrorKind.DEADLINE_BEFORE_RUN, retryAfterMilliseconds = retryAfter))
        }
        call.sentAt = now
        state.sent += call
        call.attempts++
        state.inFlight++
        return listOf(GateEffect.Dispatch(call.request))
    }

    private companion object {
        const val SHORTEST_SERVICE_MILLISECONDS = 1.0
    }
}
