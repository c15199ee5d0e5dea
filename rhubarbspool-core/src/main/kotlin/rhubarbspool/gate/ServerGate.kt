/*
 * The gate of one backend server, which is the only sender of requests to it. The gate decides which request runs and
 * when; the edge sends and receives, and reports the results as events. The gate does no I/O and reads no clock; times
 * are monotonic milliseconds.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration

/** Admission, queueing and dispatch for one backend server. Not thread-safe. */
class ServerGate(
    configuration: ServiceConfiguration,
    suspects: CrashSuspects = CrashSuspects(),
    policy: GatePolicy = GatePolicy(),
) {
    private val state = GateState(configuration, suspects, policy)
    private val admission = Admission(state)
    private val dispatcher = Dispatcher(state, admission)
    private val onceAdmission = OnceAdmission(state, admission, dispatcher)
    private val completion = CallCompletion(state, admission)

    /** Calls in flight, including abandoned ones that the server may still run. */
    val inFlight: Int get() = state.inFlight

    /** Calls in the queue. */
    val queued: Int get() = state.queue.size

    /** Whether the server may not use all of its slots yet. */
    val isCold: Boolean get() = state.slots.isCold

    /** Requests that may run at once. */
    val allowed: Int get() = state.slots.allowed

    /** Applies [event], which occurred at [now], and returns the effects that the edge must execute in order. */
    fun handle(event: GateEvent, now: Long): List<GateEffect> = when (event) {
        is GateEvent.RequestSubmitted -> submit(event.request, now)
        is GateEvent.IntentResolved -> onceAdmission.onIntentResolved(event.id, event.result, now)
        is GateEvent.RequestCancelled -> cancelRequest(event.id)
        is GateEvent.CallEnded -> onCallEnded(event, now)
        is GateEvent.SlotFreed -> state.releaseSlot() + dispatcher.dispatch(now)
        is GateEvent.ServerCrashed -> completion.onServerCrashed(now)
        is GateEvent.ServerCold -> state.resetToCold()
        is GateEvent.Tick -> tick(now)
        is GateEvent.Opened -> state.onOpened(event)
        is GateEvent.Closed -> close()
        is GateEvent.ShardReleased -> refuse(state.calls.values.filter { !it.isSent && event.matches(it.request) })
        is GateEvent.Reconfigured -> state.reconfigure(event.configuration)
    }

    /** Whether a call whose first request [matches] is queued, waits for its record, or is in flight. */
    fun isBusyWith(matches: (GateRequest) -> Boolean): Boolean = state.calls.values.any { matches(it.request) }

    private fun submit(request: GateRequest, now: Long): List<GateEffect> {
        val refusal = admission.refusal(request, now)
        return when {
            refusal != null -> listOf(GateEffect.Refuse(request.id, refusal))
            request.onceId != null -> onceAdmission.submit(request, request.onceId, now)
            else -> submitRepeatable(request, now)
        }
    }

    private fun submitRepeatable(request: GateRequest, now: Long): List<GateEffect> {
        val sharedCall = if (state.policy.coalesce) state.sharedCall(request.coalesceKey) else null
        val overload = if (sharedCall == null) admission.overload(request, now) else null
        return when {
            sharedCall != null -> state.attach(request, sharedCall)
            overload != null -> listOf(GateEffect.Refuse(request.id, overload))
            else -> dispatcher.enqueue(state.startCall(request), now)
        }
    }

    private fun cancelRequest(id: Long): List<GateEffect> {
        val call = state.callOf(id) ?: return emptyList()
        state.detach(id, call)
        val continues = call.isSent && call.request.kind == RunKind.ONCE
        return if (continues) emptyList() else dispatcher.cancelIfUnused(call)
    }

    private fun onCallEnded(event: GateEvent.CallEnded, now: Long): List<GateEffect> {
        val call = state.calls[event.id] ?: return emptyList()
        return completion.complete(call, event.result, event.slotFree, now) + dispatcher.dispatch(now)
    }

    private fun tick(now: Long): List<GateEffect> {
        state.once.expire(now)
        state.queue.removeIdle(now)
        return dispatcher.expire(now) + dispatcher.dispatch(now)
    }

    private fun close(): List<GateEffect> {
        state.open = false
        return refuse(state.queue.requests.map { state.calls.getValue(it.id) })
    }

    private fun refuse(calls: List<GateCall>): List<GateEffect> =
        calls.filterNot { it.recording }.flatMap { state.fail(it, admission.gateMoved()) }
}
