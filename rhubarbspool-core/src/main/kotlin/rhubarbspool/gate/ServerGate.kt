/*
 * The gate of one backend server: the only sender to it. It decides what runs when; the edge sends, receives and
 * reports back. No input or output, no clock; times are monotonic milliseconds.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration

/** Decides for one backend server. Not thread-safe. */
class ServerGate(
    configuration: ServiceConfiguration,
    suspects: CrashSuspects = CrashSuspects(),
    policy: GatePolicy = GatePolicy(),
) {
    private val state = GateState(configuration, suspects, policy)
    private val admission = Admission(state)
    private val dispatcher = Dispatcher(state, admission)
    private val onceAdmission = OnceAdmission(state, admission, dispatcher)
    private val ends = CallEnds(state, admission)

    /** Calls at the server now. */
    val running: Int get() = state.inFlight

    /** Calls that wait. */
    val waiting: Int get() = state.queue.size

    /** Whether the server still earns its slots. */
    val cold: Boolean get() = state.slots.cold

    /** Requests that may run at once. */
    val allowed: Int get() = state.slots.allowed

    /** Takes in [event] at [now]; returns what the edge has to do. */
    fun handle(event: GateEvent, now: Long): List<GateEffect> = when (event) {
        is GateEvent.Offered -> offered(event.request, now)
        is GateEvent.IntentResolved -> onceAdmission.resolved(event.id, event.result, now)
        is GateEvent.CallerLeft -> callerLeft(event.id)
        is GateEvent.CallEnded -> callEnded(event, now)
        is GateEvent.SlotFreed -> state.slotFreed() + dispatcher.dispatch(now)
        is GateEvent.ServerCrashed -> ends.serverCrashed(now)
        is GateEvent.ServerCold -> state.becameCold()
        is GateEvent.Tick -> tick(now)
        is GateEvent.Opened -> state.opened(event)
        is GateEvent.Closed -> closed()
        is GateEvent.ShardReleased -> refuse(state.calls.values.filter { !it.isSent && event.matches(it.request) })
        is GateEvent.Reconfigured -> state.reconfigure(event.configuration)
    }

    /** Whether a call for a request that [matches] waits, is being recorded, or is at the server. */
    fun isBusyWith(matches: (GateRequest) -> Boolean): Boolean = state.calls.values.any { matches(it.request) }

    private fun offered(request: GateRequest, now: Long): List<GateEffect> {
        val refusal = admission.refusal(request, now)
        return when {
            refusal != null -> listOf(GateEffect.Refuse(request.id, refusal))
            request.onceId != null -> onceAdmission.offer(request, request.onceId, now)
            else -> offeredRepeatable(request, now)
        }
    }

    private fun offeredRepeatable(request: GateRequest, now: Long): List<GateEffect> {
        val running = if (state.policy.coalesce) state.sharedCall(request.coalesceKey) else null
        val overload = if (running == null) admission.overload(request, now) else null
        return when {
            running != null -> state.attach(request, running)
            overload != null -> listOf(GateEffect.Refuse(request.id, overload))
            else -> dispatcher.admit(state.start(request), now)
        }
    }

    private fun callerLeft(id: Long): List<GateEffect> {
        val call = state.callOf(id) ?: return emptyList()
        state.detach(id, call)
        val runsOn = call.isSent && call.request.kind == RunKind.ONCE
        return if (runsOn) emptyList() else dispatcher.abandon(call)
    }

    private fun callEnded(event: GateEvent.CallEnded, now: Long): List<GateEffect> {
        val call = state.calls[event.id] ?: return emptyList()
        return ends.ended(call, event.end, event.slotFree, now) + dispatcher.dispatch(now)
    }

    private fun tick(now: Long): List<GateEffect> {
        state.once.expire(now)
        state.queue.forgetQuiet(now)
        return dispatcher.expire(now) + dispatcher.dispatch(now)
    }

    private fun closed(): List<GateEffect> {
        state.open = false
        return refuse(state.queue.requests.map { state.calls.getValue(it.id) })
    }

    private fun refuse(calls: List<GateCall>): List<GateEffect> =
        calls.filterNot { it.recording }.flatMap { state.end(it, admission.moved()) }
}
