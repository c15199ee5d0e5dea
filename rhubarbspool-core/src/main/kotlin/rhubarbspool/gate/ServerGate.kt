/*
 * The gate of one backend server: the only sender to it. It decides what runs when; the edge sends, receives and
 * reports back. No input or output, no clock; `now` is in monotonic milliseconds.
 *
 * A call is one run at the server, named by the id of the request that started it. Several requests may wait for
 * one call: equal reads that share its answer, and repeats of a once-only request.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Decides for one backend server. Not thread-safe. */
class ServerGate(
    private var configuration: ServiceConfiguration,
    private val suspects: CrashSuspects = CrashSuspects(),
    private val policy: GatePolicy = GatePolicy(),
) {
    private class Call(val request: GateRequest) {
        val members = linkedMapOf(request.id to request)
        var sentAt: Long? = null
        var attempts = 0
        val deadlineAt: Long get() = members.values.maxOf { it.deadlineAt }
    }

    private val limits get() = configuration.limits
    private val slots = SlotLimit(limits.slots, if (policy.slowStart) configuration.coldStart else fullSlots())
    private val queue = FairQueue()
    private val once = OnceRegistry(configuration.repeatWindowMilliseconds)
    private val budget = RetryBudget()
    private val calls = HashMap<Long, Call>()
    private val callOf = HashMap<Long, Long>()
    private val shared = HashMap<String, Long>()
    private val recentlyBroken = HashMap<String, Long>()
    private val recording = HashSet<Long>()
    private var inFlight = 0
    private var open = false
    private var suspectUntil = Long.MIN_VALUE
    private var unrecordedAllowed = false

    /** Calls at the server now. */
    val running: Int get() = inFlight

    /** Requests that wait. */
    val waiting: Int get() = queue.size

    /** Whether the server still earns its slots. */
    val cold: Boolean get() = slots.cold

    /** Requests that may run at once. */
    val allowed: Int get() = slots.allowed

    /** Takes over a new configuration of the service. */
    fun reconfigure(next: ServiceConfiguration) {
        configuration = next
        slots.resize(next.limits.slots, if (policy.slowStart) next.coldStart else fullSlots())
    }

    /** Lets the gate send, with once-only requests in doubt until [suspectUntil]. */
    fun open(suspectUntil: Long = Long.MIN_VALUE, unrecordedAllowed: Boolean = false) {
        open = true
        this.suspectUntil = suspectUntil
        this.unrecordedAllowed = unrecordedAllowed
    }

    /** Stops the gate from sending: the lease ended or the gate is being given away. Waiting requests go elsewhere. */
    fun close(): List<GateEffect> {
        open = false
        return queue.requests.toList().flatMap { end(it.id, moved()) }
    }

    /** Refuses what waits for a shard that [leaves] and says whether nothing of it is at the server. */
    fun releaseShards(leaves: (GateRequest) -> Boolean): List<GateEffect> =
        calls.values.filter { it.sentAt == null && leaves(it.request) }.map { it.request.id }
            .flatMap { end(it, moved()) }

    /** Whether a call for a request that [matches] is at the server or being recorded. */
    fun isBusyWith(matches: (GateRequest) -> Boolean): Boolean = calls.values.any { matches(it.request) }

    /** Takes in [request] at [now]. */
    fun offer(request: GateRequest, now: Long): List<GateEffect> {
        val refusal = refusalOf(request, now)
        return when {
            refusal != null -> listOf(GateEffect.Refuse(request.id, refusal))
            request.onceId != null -> offerOnce(request, request.onceId, now)
            else -> offerRepeatable(request, now)
        }
    }

    /** Takes in what became of the record of the once-only request [id]. */
    fun intentResolved(id: Long, result: IntentResult, now: Long): List<GateEffect> {
        recording -= id
        val call = calls[id] ?: return emptyList()
        return when (result) {
            is IntentResult.Recorded -> admit(call, now)
            is IntentResult.Duplicate -> duplicate(call, result, now)
            is IntentResult.Unavailable -> if (unrecordedAllowed) admit(call, now) else unrecorded(call)
        }
    }

    /** The caller of request [id] has gone. */
    fun leave(id: Long): List<GateEffect> {
        val call = callOf.remove(id)?.let { calls[it] } ?: return emptyList()
        call.members.remove(id)
        if (call.members.isNotEmpty()) return emptyList()
        val mayEnd = call.request.kind == RunKind.REPEATABLE
        return when {
            call.sentAt != null && mayEnd -> listOf(GateEffect.Cancel(call.request.id))
            call.sentAt == null && call.request.id !in recording -> emptyList<GateEffect>().also {
                drop(
                    call,
                    notRun = true
                )
            }
            else -> emptyList()
        }
    }

    /**
     * Takes in that the call [id] ended at [now]. When the server may still be at work on it, [slotFree] is false
     * and [slotFreed] follows later.
     */
    fun finished(id: Long, end: CallEnd, now: Long, slotFree: Boolean = true): List<GateEffect> {
        val call = calls[id] ?: return emptyList()
        val took = now - (call.sentAt ?: now)
        if (call.sentAt != null && slotFree) inFlight--
        call.sentAt = null
        val effects = when (end) {
            is CallEnd.Answered -> answered(call, end, took, now)
            is CallEnd.Shed -> shed(call, end, now)
            is CallEnd.NotSent -> notSent(call, now)
            is CallEnd.Broken -> broken(call, end, now)
        }
        return effects + dispatch(now)
    }

    /** The server has certainly ended work that was given up before. */
    fun slotFreed(now: Long): List<GateEffect> {
        inFlight--
        return dispatch(now)
    }

    /** The server was seen to crash or to have been started anew. */
    fun serverCrashed(now: Long): List<GateEffect> {
        slots.becameCold()
        recentlyBroken.values.removeAll { now - it > CRASH_WINDOW_MILLISECONDS }
        val present = calls.values.filter { it.sentAt != null }.map { it.request.fingerprint }
        val blamed = (recentlyBroken.keys + present).toSet()
        recentlyBroken.clear()
        blamed.forEach { suspects.crashed(it, now) }
        return blamed.map { GateEffect.ReportCrash(it) } + refuseQuarantined(now)
    }

    /** The server says that it is cold. */
    fun serverCold() = slots.becameCold()

    /** Lets time pass: ends what missed its deadline and sends what may be sent. */
    fun tick(now: Long): List<GateEffect> {
        once.expire(now)
        return calls.values.toList().flatMap { expire(it, now) } + dispatch(now)
    }

    private fun fullSlots() = configuration.coldStart.copy(slots = configuration.limits.slots)

    private fun refusalOf(request: GateRequest, now: Long): RequestError? = when {
        !open -> moved()
        suspects.quarantined(request.fingerprint, now) ->
            RequestError(ErrorKind.QUARANTINED, request.fingerprint, suspects.remaining(request.fingerprint, now))
        request.deadlineAt <= now -> RequestError(ErrorKind.DEADLINE_BEFORE_RUN, retryAfterMilliseconds = 0)
        else -> null
    }

    private fun offerRepeatable(request: GateRequest, now: Long): List<GateEffect> {
        val running = request.coalesceKey?.takeIf { policy.coalesce }?.let { shared[it] }?.let { calls[it] }
        if (running != null) return attach(request, running)
        val overload = overloadOf(request, now)
        if (overload != null) return listOf(GateEffect.Refuse(request.id, overload))
        val call = start(request)
        request.coalesceKey?.let { shared[it] = request.id }
        queue.add(call.request)
        return dispatch(now)
    }

    private fun offerOnce(request: GateRequest, onceId: String, now: Long): List<GateEffect> {
        val entry = once[onceId]
        if (entry != null && entry.fingerprint != request.fingerprint) {
            return listOf(GateEffect.Refuse(request.id, RequestError(ErrorKind.REQUEST_ID_REUSED)))
        }
        return when (entry) {
            is OnceRegistry.Entry.Open -> attach(request, calls.getValue(entry.call))
            is OnceRegistry.Entry.Done -> listOf(GateEffect.Replay(request.id, entry.answer))
            is OnceRegistry.Entry.Unclear -> listOf(GateEffect.Refuse(request.id, unclear()))
            is OnceRegistry.Entry.NotRun, null -> startOnce(request, onceId, entry != null, now)
        }
    }

    private fun startOnce(request: GateRequest, onceId: String, hasRecord: Boolean, now: Long): List<GateEffect> {
        val refusal = if (!hasRecord && now < suspectUntil) unclear(suspectUntil - now) else overloadOf(request, now)
        if (refusal != null) return listOf(GateEffect.Refuse(request.id, refusal))
        val call = start(request)
        once[onceId] = OnceRegistry.Entry.Open(request.fingerprint, request.id)
        if (hasRecord) return admit(call, now)
        recording += request.id
        return listOf(GateEffect.RecordIntent(request))
    }

    private fun start(request: GateRequest): Call = Call(request).also {
        calls[request.id] = it
        callOf[request.id] = request.id
    }

    private fun attach(request: GateRequest, call: Call): List<GateEffect> {
        call.members[request.id] = request
        callOf[request.id] = call.request.id
        return listOf(GateEffect.Attach(request.id, call.request.id))
    }

    private fun admit(call: Call, now: Long): List<GateEffect> {
        if (!open || call.members.isEmpty()) return end(call.request.id, moved())
        queue.add(call.request)
        return dispatch(now)
    }

    private fun unrecorded(call: Call): List<GateEffect> {
        val onceId = call.request.onceId
        val effects =
            end(call.request.id, RequestError(ErrorKind.RECORD_UNAVAILABLE, retryAfterMilliseconds = BACK_SOON))
        onceId?.let(once::remove)
        return effects
    }

    private fun duplicate(call: Call, result: IntentResult.Duplicate, now: Long): List<GateEffect> {
        val request = call.request
        val onceId = requireNotNull(request.onceId)
        val members = call.members.keys.toList()
        drop(call, notRun = false)
        if (result.fingerprint != request.fingerprint) {
            once.remove(onceId)
            return members.map { GateEffect.Refuse(it, RequestError(ErrorKind.REQUEST_ID_REUSED)) }
        }
        val answer = result.answer
        once[onceId] = if (answer != null) {
            OnceRegistry.Entry.Done(request.fingerprint, answer, now)
        } else {
            OnceRegistry.Entry.Unclear(request.fingerprint, now)
        }
        return members.map { if (answer != null) GateEffect.Replay(it, answer) else GateEffect.Refuse(it, unclear()) }
    }

    private fun answered(call: Call, end: CallEnd.Answered, took: Long, now: Long): List<GateEffect> {
        slots.answered(took)
        budget.answered()
        if (inFlight == 0) suspects.cleared(call.request.fingerprint)
        val onceId = call.request.onceId
        val record = end.record ?: RecordedAnswer(end.status, null, null)
        drop(call, notRun = false)
        if (onceId == null) return emptyList()
        once[onceId] = OnceRegistry.Entry.Done(call.request.fingerprint, record, now)
        return listOf(GateEffect.RecordOutcome(onceId, call.request.fingerprint, record))
    }

    private fun shed(call: Call, end: CallEnd.Shed, now: Long): List<GateEffect> {
        slots.shed()
        val again = call.request.kind == RunKind.REPEATABLE && mayRetry(call, now)
        if (again) return requeue(call)
        return end(
            call.request.id,
            RequestError(ErrorKind.REJECTED, retryAfterMilliseconds = end.retryAfterMilliseconds)
        )
    }

    private fun notSent(call: Call, now: Long): List<GateEffect> =
        if (mayRetry(call, now)) {
            requeue(call)
        } else {
            end(call.request.id, RequestError(ErrorKind.SERVER_UNREACHABLE, retryAfterMilliseconds = BACK_SOON))
        }

    private fun broken(call: Call, end: CallEnd.Broken, now: Long): List<GateEffect> {
        recentlyBroken[call.request.fingerprint] = now
        val repeatable = call.request.kind == RunKind.REPEATABLE
        if (repeatable && !end.answerBegan && mayRetry(call, now)) return requeue(call)
        val kind = if (end.answerBegan) ErrorKind.ANSWER_CUT_SHORT else ErrorKind.OUTCOME_UNKNOWN
        return end(call.request.id, RequestError(kind), ranAt = now)
    }

    private fun mayRetry(call: Call, now: Long): Boolean =
        open && call.attempts < MAXIMUM_ATTEMPTS && call.members.isNotEmpty() &&
            now + slots.serviceTime < call.deadlineAt &&
            !suspects.quarantined(call.request.fingerprint, now) && (!policy.retryBudget || budget.take())

    private fun requeue(call: Call): List<GateEffect> {
        queue.addFirst(call.request)
        return emptyList()
    }

    private fun expire(call: Call, now: Long): List<GateEffect> {
        val late = call.members.values.filter { it.deadlineAt <= now }
        if (late.isEmpty()) return emptyList()
        val sent = call.sentAt != null
        val kind = if (sent) ErrorKind.DEADLINE_AFTER_RUN else ErrorKind.DEADLINE_BEFORE_RUN
        late.forEach {
            call.members.remove(it.id)
            callOf.remove(it.id)
        }
        val answers = late.map {
            GateEffect.Refuse(
                it.id,
                RequestError(kind, retryAfterMilliseconds = waitTime().toLong())
            )
        }
        val settled = call.members.isNotEmpty() || call.request.id in recording
        if (settled) return answers
        if (!sent) drop(call, notRun = true)
        return if (sent) answers + GateEffect.Cancel(call.request.id) else answers
    }

    private fun dispatch(now: Long): List<GateEffect> {
        if (!open) return emptyList()
        val effects = mutableListOf<GateEffect>()
        while (inFlight < slots.allowed) {
            val alone = calls.values.any { it.sentAt != null && suspects.runsAlone(it.request.fingerprint, now) }
            if (alone) break
            val next = queue.take { inFlight == 0 || !suspects.runsAlone(it.fingerprint, now) } ?: break
            effects += sendOrDrop(next, now)
        }
        return effects
    }

    private fun sendOrDrop(request: GateRequest, now: Long): List<GateEffect> {
        val call = calls.getValue(request.id)
        if (call.deadlineAt <= now) {
            return end(
                request.id,
                RequestError(ErrorKind.DEADLINE_BEFORE_RUN, retryAfterMilliseconds = waitTime().toLong())
            )
        }
        call.sentAt = now
        call.attempts++
        inFlight++
        return listOf(GateEffect.Dispatch(request))
    }

    /** Answers all members of the call [id] with [error] and forgets the call; [ranAt] when it may have run. */
    private fun end(id: Long, error: RequestError, ranAt: Long? = null): List<GateEffect> {
        val call = calls[id] ?: return emptyList()
        val members = call.members.keys.toList()
        drop(call, notRun = ranAt == null)
        val onceId = call.request.onceId
        if (onceId != null && ranAt != null) once[onceId] = OnceRegistry.Entry.Unclear(call.request.fingerprint, ranAt)
        return members.map { GateEffect.Refuse(it, error) }
    }

    private fun drop(call: Call, notRun: Boolean) {
        val request = call.request
        calls.remove(request.id)
        call.members.keys.forEach(callOf::remove)
        queue.remove(request.id)
        request.coalesceKey?.let { shared.remove(it, request.id) }
        val onceId = request.onceId ?: return
        if (notRun) once[onceId] = OnceRegistry.Entry.NotRun(request.fingerprint, request.deadlineAt)
    }

    private fun refuseQuarantined(now: Long): List<GateEffect> =
        queue.requests.filter { suspects.quarantined(it.fingerprint, now) }.flatMap {
            end(it.id, RequestError(ErrorKind.QUARANTINED, it.fingerprint, suspects.remaining(it.fingerprint, now)))
        }

    private fun overloadOf(request: GateRequest, now: Long): RequestError? {
        if (!policy.earlyRefusal) return null
        val wait = waitTime()
        val late = now + wait + slots.serviceTime * policy.headroom(inFlight + queue.size) > request.deadlineAt
        val full = queue.size >= limits.queueLength
        return if (full || late) {
            RequestError(
                ErrorKind.OVERLOADED,
                retryAfterMilliseconds = maxOf(1, wait.toLong())
            )
        } else {
            null
        }
    }

    /** Expected time until a slot is free for one more request. */
    private fun waitTime(): Double {
        val ahead = inFlight + queue.size - slots.allowed + 1
        return if (ahead <= 0) 0.0 else ahead * slots.serviceTime / slots.allowed
    }

    private fun moved() = RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = BACK_SOON)

    private fun unclear(retryAfter: Long? = null) =
        RequestError(ErrorKind.OUTCOME_UNKNOWN, retryAfterMilliseconds = retryAfter)

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val CRASH_WINDOW_MILLISECONDS = 1_000L
        const val BACK_SOON = 500L
    }
}
