/*
 * One sender's gate to a model server: applies the effects that the decision code returns.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateEffect
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.ServerGate

/** The real [ServerGate] driven by simulated events. */
internal class ModelGate(
    private val simulation: Simulation,
    private val server: ModelServer,
    configuration: ServiceConfiguration,
    variant: Variant,
) {
    private class PendingRequest(val arrivedAt: Double, var call: Long)

    private val gate = ServerGate(configuration, policy = variant.policy)
    private val effects = ArrayDeque<GateEffect>()
    private val pendingRequests = HashMap<Long, PendingRequest>()
    private val requestsByCall = HashMap<Long, MutableSet<Long>>()
    private val calls = HashMap<Long, ModelCall>()
    private var isApplyingEffects = false
    private var crashReported = false

    init {
        gate.handle(GateEvent.Opened(), 0)
    }

    /** Submits [request] at the present simulated time. */
    fun submit(request: GateRequest) {
        pendingRequests[request.id] = PendingRequest(simulation.now, request.id)
        requestsByCall.getOrPut(request.id) { LinkedHashSet() } += request.id
        onEvent(GateEvent.RequestSubmitted(request))
    }

    /** Passes [event] to the gate and applies its effects; effects of nested events are queued in order. */
    fun onEvent(event: GateEvent) {
        effects += gate.handle(event, simulation.now.toLong())
        if (isApplyingEffects) return
        isApplyingEffects = true
        while (effects.isNotEmpty()) applyEffect(effects.removeFirst())
        isApplyingEffects = false
    }

    private fun applyEffect(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> dispatch(effect.request)
            is GateEffect.Attach -> attach(effect)
            is GateEffect.Refuse -> removeRequest(effect.request)
            is GateEffect.Cancel -> cancel(effect.call)
            else -> Unit
        }
    }

    private fun attach(effect: GateEffect.Attach) {
        requestsByCall.remove(effect.request)
        pendingRequests.getValue(effect.request).call = effect.call
        requestsByCall.getOrPut(effect.call) { LinkedHashSet() } += effect.request
    }

    private fun dispatch(request: GateRequest) {
        if (server.isDown) {
            if (!crashReported) onEvent(GateEvent.ServerCrashed)
            crashReported = true
            simulation.after(CONNECT_MILLISECONDS) { onEvent(GateEvent.CallEnded(request.id, CallResult.NotSent)) }
            return
        }
        crashReported = false
        val call = ModelCall { success -> onCallFinished(request.id, success) }
        calls[request.id] = call
        server.receive(call)
    }

    private fun onCallFinished(id: Long, success: Boolean) {
        if (calls.remove(id) == null) return onEvent(GateEvent.SlotFreed)
        if (success) requestsByCall.remove(id).orEmpty().forEach { recordAnswer(it) }
        onEvent(
            GateEvent.CallEnded(id, if (success) CallResult.Answered(STATUS_OK) else CallResult.Broken(byServer = true))
        )
    }

    private fun recordAnswer(id: Long) {
        pendingRequests.remove(id)?.let { simulation.recordAnswer(it.arrivedAt) }
    }

    private fun cancel(id: Long) {
        val call = calls.remove(id) ?: return
        val wasQueued = server.cancel(call)
        onEvent(GateEvent.CallEnded(id, CallResult.Broken(), slotFree = wasQueued))
    }

    private fun removeRequest(id: Long) {
        val call = pendingRequests.remove(id)?.call ?: return
        requestsByCall[call]?.let { others ->
            others.remove(id)
            if (others.isEmpty()) requestsByCall.remove(call)
        }
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 1.0
        const val STATUS_OK = 200
    }
}
