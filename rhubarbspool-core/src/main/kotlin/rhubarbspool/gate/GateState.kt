/*
 * State of one gate: its calls, the queue, the slots of its server, and the records of once-only requests.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.errors.RequestError

/**
 * One call to the server, identified by the id of the request that started it. Several requests may wait for its
 * result: equal reads that share its answer, and repeats of a once-only request.
 */
internal class GateCall(val request: GateRequest) {
    /** Requests that wait for this call. */
    val members = linkedMapOf(request.id to request)

    /** When the call was sent; null while it is not in flight. */
    var sentAt: Long? = null
    var attempts = 0

    /** Whether the table has not yet responded to the write of the call's record. */
    var recording = false

    /** Whether an earlier attempt was sent and got no complete answer. */
    var mayHaveRun = false

    /** Whether it is certain that no earlier attempt of a once-only request was run. */
    var isNew = false

    val isSent: Boolean get() = sentAt != null

    /** The error to report for [error]: it may say that nothing ran only if no earlier attempt was sent. */
    fun errorToReport(error: RequestError): RequestError {
        val misleads = mayHaveRun && error.kind.outcome != Outcome.UNKNOWN
        return if (misleads) error.copy(kind = ErrorKind.OUTCOME_UNKNOWN) else error.copy(noEarlierAttemptRan = isNew)
    }

    val deadlineAt: Long get() = members.values.maxOf { it.deadlineAt }
}

/** Mutable state that the parts of one gate share. */
internal class GateState(
    var configuration: ServiceConfiguration,
    val suspects: CrashSuspects,
    val policy: GatePolicy,
) {
    private val callIdsByRequest = HashMap<Long, Long>()
    private val callIdsByCoalesceKey = HashMap<String, Long>()

    val calls = HashMap<Long, GateCall>()

    /** Calls in flight. */
    val sentCalls = LinkedHashSet<GateCall>()
    val queue = FairQueue()
    val once = OnceRegistry(configuration.repeatWindowMilliseconds)
    val slots = SlotLimit(configuration.limits.slots, initialColdStart())
    var inFlight = 0
    var open = false
    var suspectUntil = Long.MIN_VALUE
    var unrecordedAllowed = false

    /** The call that the request [id] waits for. */
    fun callOf(id: Long): GateCall? = callIdsByRequest[id]?.let { calls[it] }

    /** The call whose answer a request with [coalesceKey] may share. */
    fun sharedCall(coalesceKey: String?): GateCall? = coalesceKey?.let { callIdsByCoalesceKey[it] }?.let { calls[it] }

    /** Creates a call for [request], which other requests may share. */
    fun startCall(request: GateRequest): GateCall {
        val call = GateCall(request)
        calls[request.id] = call
        callIdsByRequest[request.id] = request.id
        request.coalesceKey?.let { callIdsByCoalesceKey[it] = request.id }
        return call
    }

    /** Adds [request] to the requests that wait for [call]. */
    fun attach(request: GateRequest, call: GateCall): List<GateEffect> {
        call.members[request.id] = request
        callIdsByRequest[request.id] = call.request.id
        return listOf(GateEffect.Attach(request.id, call.request.id))
    }

    /** Removes the request [id] from those that wait for [call]. */
    fun detach(id: Long, call: GateCall) {
        call.members.remove(id)
        callIdsByRequest.remove(id)
    }

    /** Removes [call] and refuses all its members with [error]; [ranAt] is set if the call may have run. */
    fun fail(call: GateCall, error: RequestError, ranAt: Long? = null): List<GateEffect> {
        val members = call.members.values.toList()
        removeCall(call, notRun = ranAt == null)
        val onceId = call.request.onceId
        if (onceId != null && ranAt != null) once[onceId] = OnceRegistry.Entry.Unknown(call.request.fingerprint, ranAt)
        return members.map { GateEffect.Refuse(it.id, call.errorToReport(error)) }
    }

    /** Removes [call]; with [notRun], its entry in the registry says that it certainly did not run. */
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

/** Replaces the configuration of the service. */
internal fun GateState.reconfigure(next: ServiceConfiguration): List<GateEffect> = withoutEffects {
    configuration = next
    slots.resize(next.limits.slots, next.coldStartFor(policy))
}

/** Limits the server to the slots of a cold server. */
internal fun GateState.resetToCold(): List<GateEffect> = withoutEffects { slots.resetToCold() }

/** Frees the slot of an abandoned call that the server has ended. */
internal fun GateState.releaseSlot(): List<GateEffect> = withoutEffects { inFlight-- }

/** Lets the gate send. */
internal fun GateState.onOpened(event: GateEvent.Opened): List<GateEffect> = withoutEffects {
    open = true
    suspectUntil = event.suspectUntil
    unrecordedAllowed = event.unrecordedAllowed
}

private fun withoutEffects(change: () -> Unit): List<GateEffect> {
    change()
    return emptyList()
}
