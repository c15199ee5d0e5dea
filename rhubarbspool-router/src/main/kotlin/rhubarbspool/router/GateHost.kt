/*
 * Runs the gate of one backend server: hands it the requests, carries out its decisions, and brings what happened
 * back to it.
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

/** The gate of [server] in this process. */
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

    /** Whether nothing is left here, so that the host may be dropped. */
    val isIdle: Boolean get() = members.isEmpty && work.isEmpty

    /** Whether the server can be used; null while that is not known. */
    val isAvailable: Boolean? get() = watch.isAvailable

    /** Keys that take a large share of the server. */
    val hot: Set<String> get() = hotKeys.hot

    /** Fingerprints that were in flight at crashes since they were last taken. */
    val crashes: MutableSet<String> = LinkedHashSet()

    /** Takes over a new configuration. */
    fun reconfigure(next: ServiceConfiguration) {
        configuration = next
        onEvent(GateEvent.Reconfigured(next))
    }

    /** Takes in a request; its answer goes to [sink]. */
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

    /** Lets time pass and follows the lease that the controller gave, null for none. */
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

    /** Whether the gate has nothing more to do with the server, so that it may be handed on. */
    fun isReleased(): Boolean =
        leaseState.isReleasing && gate.inFlight == 0 && work.isEmpty && context.recorder.isFlushed

    /** Whether nothing that was sent for the shard under [subject] can still run. */
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

    /** Gives [member], which can't share an answer, a call of its own. */
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

    /** Tells the gate of [event]; what it decides is carried out in the order in which it was decided. */
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

    /** What the runs and the watch of the server tell the gate. */
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
