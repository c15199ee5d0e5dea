/*
 * What one gate knows: its calls, what waits, the slots of its server, and the records of once-only requests.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError

/**
 * One run at the server, named by the id of the request that started it. Several requests may wait for it: equal
 * reads that share its answer, and repeats of a once-only request.
 */
internal class GateCall(val request: GateRequest) {
    /** Requests that wait for this call. */
    val members = linkedMapOf(request.id to request)

    /** When the call was sent to the server; null while it is not there. */
    var sentAt: Long? = null
    var attempts = 0

    /** Whether the table was asked for a record and has not answered. */
    var recording = false

    /** Whether an earlier try was sent and got no answer. */
    var mayHaveRun = false

    /** Whether it is certain that no earlier attempt of a once-only request was run. */
    var isNew = false

    val isSent: Boolean get() = sentAt != null

    /** What may be told of [error]: that nothing ran only if no earlier try was sent. */
    fun errorToReport(error: RequestError): RequestError {
        val misleads = mayHaveRun && error.kind.outcome != Outcome.UNKNOWN
        return if (misleads) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error.copy(certain = isNew)
    }

    val deadlineAt: Long get() = members.values.maxOf { it.deadlineAt }
}

/** State of one gate. */
internal class GateState(
    var configuration: ServiceConfiguration,
    val suspects: CrashSuspects,
    val policy: GatePolicy,
) {
    private val callIdsByRequest = HashMap<Long, Long>()
    private val callIdsByCoalesceKey = HashMap<String, Long>()

    val calls = HashMap<Long, GateCall>()

    /** Calls at the server. */
    val sentCalls = LinkedHashSet<GateCall>()
    val queue = FairQueue()
    val once = OnceRegistry(configuration.repeatWindowMilliseconds)
    val slots = SlotLimit(configuration.limits.slots, initialColdStart())
    var inFlight = 0
    var isOpen = false
    var suspectUntil = Long.MIN_VALUE
    var unrecordedAllowed = false

    /** The call that the request [id] waits for. */
    fun callOf(id: Long): GateCall? = callIdsByRequest[id]?.let { calls[it] }

    /** The call whose answer a request with [coalesceKey] may share. */
    fun sharedCall(coalesceKey: String?): GateCall? = coalesceKey?.let { callIdsByCoalesceKey[it] }?.let { calls[it] }

    /** Starts a call for [request]. */
    fun startCall(request: GateRequest): GateCall {
        val call = GateCall(request)
        calls[request.id] = call
        callIdsByRequest[request.id] = request.id
        request.coalesceKey?.let { callIdsByCoalesceKey[it] = request.id }
        return call
    }

    /** Lets [request] wait for [call]. */
    fun attach(request: GateRequest, call: GateCall): List<GateEffect> {
        call.members[request.id] = request
        callIdsByRequest[request.id] = call.request.id
        return listOf(GateEffect.Attach(request.id, call.request.id))
    }

    /** The request [id] waits for [call] no more. */
    fun detach(id: Long, call: GateCall) {
        call.members.remove(id)
        callIdsByRequest.remove(id)
    }

    /** Answers all members of [call] with [error] and forgets the call; [ranAt] when it may have run. */
    fun fail(call: GateCall, error: RequestError, ranAt: Long? = null): List<GateEffect> {
        val members = call.members.values.toList()
        removeCall(call, notRun = ranAt == null)
        val onceId = call.request.onceId
        if (onceId != null && ranAt != null) once[onceId] = OnceRegistry.Entry.Unknown(call.request.fingerprint, ranAt)
        return members.map { GateEffect.Refuse(it.id, call.errorToReport(error)) }
    }

    /** Forgets [call]; with [notRun] its record says that it was certainly not run. */
    fun removeCall(call: GateCall, notRun: Boolean) {
        val request = call.request
        calls.remove(request.id)
        sentCalls.remove(call)
        call.members.keys.forEach(callIdsByRequest::remove)
        queue.remove(request.id)
        request.coalesceKey?.let { callIdsByCoalesceKey.remove(it, request.id) }
        if (notRun && request.onceId != null) {
            once[request.onceId] = OnceRegistry.Entry.NotRun(request.fingerprint, request.deadlineAt)
        }
    }

    private fun initialColdStart() = configuration.coldStartFor(policy)
}

private fun ServiceConfiguration.coldStartFor(policy: GatePolicy) =
    if (policy.slowStart) coldStart else coldStart.copy(slots = limits.slots)

/** Takes over a new configuration of the service. */
internal fun GateState.reconfigure(next: ServiceConfiguration): List<GateEffect> = withoutEffects {
    configuration = next
    slots.resize(next.limits.slots, next.coldStartFor(policy))
}

/** The server starts over with the slots of a cold one. */
internal fun GateState.resetToCold(): List<GateEffect> = withoutEffects { slots.resetToCold() }

/** The server has ended work that was given up. */
internal fun GateState.releaseSlot(): List<GateEffect> = withoutEffects { inFlight-- }

/** The gate may send. */
internal fun GateState.open(event: GateEvent.Opened): List<GateEffect> = withoutEffects {
    isOpen = true
    suspectUntil = event.suspectUntil
    unrecordedAllowed = event.unrecordedAllowed
}

private fun withoutEffects(change: () -> Unit): List<GateEffect> {
    change()
    return emptyList()
}
