/*
 * One sender's gate to a model server: carries out what the decision code decides.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateEffect
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.ServerGate

/** A gate in a simulation. */
internal class ModelGate(
    private val simulation: Simulation,
    private val server: ModelServer,
    configuration: ServiceConfiguration,
    variant: Variant,
) {
    private class Waiting(val arrivedAt: Double, var call: Long)

    private val gate = ServerGate(configuration, policy = variant.policy)
    private val effects = ArrayDeque<GateEffect>()
    private val waiting = HashMap<Long, Waiting>()
    private val members = HashMap<Long, MutableSet<Long>>()
    private val calls = HashMap<Long, ModelCall>()
    private var carryingOut = false
    private var seenDown = false

    init {
        gate.handle(GateEvent.Opened(), 0)
    }

    /** Takes in a request. */
    fun offer(request: GateRequest) {
        waiting[request.id] = Waiting(simulation.now, request.id)
        members.getOrPut(request.id) { LinkedHashSet() } += request.id
        tell(GateEvent.RequestSubmitted(request))
    }

    /** Tells the gate of [event]. */
    fun tell(event: GateEvent) {
        effects += gate.handle(event, simulation.now.toLong())
        if (carryingOut) return
        carryingOut = true
        while (effects.isNotEmpty()) carryOut(effects.removeFirst())
        carryingOut = false
    }

    private fun carryOut(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> dispatch(effect.request)
            is GateEffect.Attach -> attach(effect)
            is GateEffect.Refuse -> forget(effect.request)
            is GateEffect.Cancel -> cancel(effect.call)
            else -> Unit
        }
    }

    private fun attach(effect: GateEffect.Attach) {
        members.remove(effect.request)
        waiting.getValue(effect.request).call = effect.call
        members.getOrPut(effect.call) { LinkedHashSet() } += effect.request
    }

    private fun dispatch(request: GateRequest) {
        if (server.isDown) {
            if (!seenDown) tell(GateEvent.ServerCrashed)
            seenDown = true
            simulation.after(CONNECT_MILLISECONDS) { tell(GateEvent.CallEnded(request.id, CallResult.NotSent)) }
            return
        }
        seenDown = false
        val call = ModelCall { whole -> ended(request.id, whole) }
        calls[request.id] = call
        server.receive(call)
    }

    private fun ended(id: Long, whole: Boolean) {
        if (calls.remove(id) == null) return tell(GateEvent.SlotFreed)
        if (whole) members.remove(id).orEmpty().forEach { answered(it) }
        tell(GateEvent.CallEnded(id, if (whole) CallResult.Answered(STATUS_OK) else CallResult.Broken(byServer = true)))
    }

    private fun answered(id: Long) {
        waiting.remove(id)?.let { simulation.answered(it.arrivedAt) }
    }

    private fun cancel(id: Long) {
        val call = calls.remove(id) ?: return
        val waited = server.cancel(call)
        tell(GateEvent.CallEnded(id, CallResult.Broken(), slotFree = waited))
    }

    private fun forget(id: Long) {
        val call = waiting.remove(id)?.call ?: return
        members[call]?.let { others ->
            others.remove(id)
            if (others.isEmpty()) members.remove(call)
        }
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 1.0
        const val STATUS_OK = 200
    }
}
