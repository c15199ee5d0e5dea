/*
 * Connects the gate of one backend server to the outside: feeds it requests and events, and executes the effects that
 * it returns.
 */
package rhubarbspool.router

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateEffect
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.ServerGate

/** Hosts the gate of [server] in this process. Used on one event loop. */
internal class GateHost(
    private val context: RouterContext,
    private val server: BackendServer,
    private var configuration: ServiceConfiguration,
) {
    private val callbacks = Callbacks()
    private val gate = ServerGate(configuration, context.suspects(configuration.service))
    private val watch = ServerWatch(server, context.serverClient, callbacks)
    private val admission = GateAdmission(context.view, server, watch)
    private val leaseState = GateLeaseState(server, watch)
    private val work = GateWork(context, server, watch, callbacks)
    private val records = GateRecords(context)
    private val hotKeys = HotKeyCounter()
    private val members = GateMembers()
    private val effects = ArrayDeque<GateEffect>()
    private var isExecutingEffects = false

    /** Whether no request waits and no run can still execute, so that this host may be discarded. */
    val isIdle: Boolean get() = members.isEmpty && work.isEmpty

    /** Whether the server is reachable and not draining; null while that is not known. */
    val isAvailable: Boolean? get() = watch.isAvailable

    /** Keys that cause a large share of the runs at the server. */
    val hot: Set<String> get() = hotKeys.hot

    /** Fingerprints of requests in flight when the server crashed, until the next report clears them. */
    val crashes: MutableSet<String> = LinkedHashSet()

    /** Replaces the configuration of the service with [next]. */
    fun reconfigure(next: ServiceConfiguration) {
        configuration = next
        onEvent(GateEvent.Reconfigured(next))
    }

    /** Submits [incoming] to the gate, or refuses it when the gate may not serve its key; [sink] gets the answer. */
    fun submit(incoming: IncomingRequest, sink: AnswerSink): Cancellable {
        val now = ProcessClock.monotonic()
        val refusal = admission.refusal(configuration, incoming, now)
        val shard = admission.locateOwned(configuration, incoming.key)?.shardKey
        if (refusal == null && shard != null) {
            return enqueue(incoming, sink, incoming.toGateRequest(context.nextId(), shard, share = true))
        }
        sink.refuse(refusal ?: RequestError(ErrorKind.GATE_MOVED))
        return Cancellable { }
    }

    /** Updates the gate to the lease in force at [now], null for none, and runs everything that is due. */
    fun tick(current: GateLease?, now: Long) {
        if (leaseState.update(current, now)) leaseState.inheritedUntil(configuration, now)?.let(work::trackInherited)
        if (current != null) watch.tick(now)
        if (leaseState.isOpen(configuration, work.hasRuns, now)) {
            val suspectUntil = leaseState.suspectUntil(now, System.currentTimeMillis())
            onEvent(GateEvent.Opened(suspectUntil, context.view.unrecordedAllowed))
        } else {
            onEvent(GateEvent.Closed)
        }
        work.tick(configuration, now)
        onEvent(GateEvent.Tick)
        admission.releasingShards(configuration)
            .forEach { onEvent(GateEvent.ShardReleased(admission.belongsTo(configuration, it))) }
        hotKeys.rollWindow(now)
        context.metrics.updateGate(server.name.text, gate.queued, gate.allowed)
    }

    /** Whether the gate holds no work and all its records are written, so that the controller may hand it over. */
    fun isReleased(): Boolean =
        leaseState.isReleasing && gate.inFlight == 0 && work.isEmpty && context.recorder.isFlushed

    /** Whether no request of the shard under [subject] is queued or can still run at the server. */
    fun isShardReleased(subject: String): Boolean {
        val matches = admission.belongsTo(configuration, subject)
        return !gate.isBusyWith(matches) && work.hasEnded(matches)
    }

    private fun enqueue(incoming: IncomingRequest, sink: AnswerSink, request: GateRequest): Cancellable {
        members.add(GateMember(request, incoming, sink))
        onEvent(GateEvent.RequestSubmitted(request))
        return Cancellable {
            members.remove(request.id)
            onEvent(GateEvent.RequestCancelled(request.id))
        }
    }

    /** Gives [member], which can't share the answer, a call of its own; refuses it if it must run only once. */
    private fun runSeparately(member: GateMember) {
        members.remove(member.request.id)
        onEvent(GateEvent.RequestCancelled(member.request.id))
        if (member.request.onceId != null) {
            member.sink.refuse(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer is too large to be shared"))
        } else {
            val request = member.incoming.toGateRequest(context.nextId(), member.request.shard, share = false)
            enqueue(member.incoming, member.sink, request)
        }
    }

    /** Passes [event] to the gate. Effects are executed in order, also those of events that arise meanwhile. */
    private fun onEvent(event: GateEvent) {
        effects += gate.handle(event, ProcessClock.monotonic())
        if (isExecutingEffects) return
        isExecutingEffects = true
        try {
            while (effects.isNotEmpty()) execute(effects.removeFirst())
        } finally {
            isExecutingEffects = false
        }
    }

    private fun execute(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> {
                val now = ProcessClock.monotonic()
                hotKeys.recordRun(effect.request.key, now)
                val maximumBufferedBytes = configuration.limits.coalescedAnswerBytes
                work.start(
                    ServerRun(effect.request, now, server.name.text, maximumBufferedBytes, callbacks),
                    configuration
                )
            }

            is GateEffect.Attach -> attach(effect)
            is GateEffect.Refuse -> members.remove(effect.request)?.sink?.refuse(effect.error)
            is GateEffect.Replay -> members.remove(effect.request)?.sink?.replay(effect.answer, server.name.text)
            is GateEffect.RecordIntent -> records.recordIntent(configuration, effect.request, leaseState.epoch) {
                onEvent(GateEvent.IntentResolved(effect.request.id, it))
            }

            is GateEffect.RecordOutcome -> records.recordOutcome(configuration, effect, leaseState.epoch)
            is GateEffect.Cancel -> work[effect.call]?.call?.abort()
            is GateEffect.ReportCrash -> crashes += effect.fingerprint
        }
    }

    private fun attach(effect: GateEffect.Attach) {
        val member = members[effect.request] ?: return
        members.attach(member, effect.call)
        context.metrics.recordShared(configuration.service.text)
        if (work[effect.call]?.isStreaming == true) runSeparately(member)
    }

    /** Turns callbacks of runs and of the server watch into events of the gate. */
    private inner class Callbacks : ServerRunOwner, ServerWatchListener, SendCheck {
        override fun sinks(call: Long): List<AnswerSink> = members.of(call).map { it.sink }

        override fun detachOthers(call: Long) =
            members.of(call).filter { it.request.id != call }.forEach(::runSeparately)

        override fun onFinished(run: ServerRun, result: CallResult, wire: WireEnd) {
            val now = ProcessClock.monotonic()
            val call = run.request.id
            work.remove(call)
            if (result is CallResult.Answered) members.of(call).forEach { members.remove(it.request.id) }
            val mayStillRun = wire == WireEnd.GIVEN_UP
            if (mayStillRun) work.trackAbandoned(run, configuration, now)
            if (wire == WireEnd.CLOSED_BY_SERVER) watch.probe(now)
            onEvent(GateEvent.CallEnded(call, result, slotFree = !mayStillRun))
        }

        override fun onServerLost() {
            leaseState.onServerLost()
            work.onServerLost()
            onEvent(GateEvent.ServerCrashed)
        }

        override fun onReportedCold() {
            if (!gate.isCold) onEvent(GateEvent.ServerCold)
        }

        override fun requestToSend(request: GateRequest, now: Long): SendableRequest? {
            val waiting = members.of(request.id)
            val location = admission.locateOwned(configuration, request.key)
            if (waiting.isEmpty() || location == null || !leaseState.isLeaseValid(now)) return null
            val current = location.copy(gateEpoch = leaseState.epoch)
            return SendableRequest(waiting.first().incoming, current, waiting.maxOf { it.request.deadlineAt })
        }

        override fun onAbandonedRunEnded(request: GateRequest?) {
            if (request != null) onEvent(GateEvent.SlotFreed)
        }
    }
}
