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
    private val events = Events()
    private val gate = ServerGate(configuration, context.suspects(configuration.service))
    private val watch = ServerWatch(server, context.serverClient, events)
    private val admission = GateAdmission(context.view, server, watch)
    private val leaseState = GateLeaseState(server, watch)
    private val work = GateWork(context, server, watch, events)
    private val records = GateRecords(context)
    private val hotKeys = HotKeyCounter()
    private val members = GateMembers()
    private val effects = ArrayDeque<GateEffect>()
    private var isRunning = false

    /** Whether nothing is left here, so that the host may be dropped. */
    val isIdle: Boolean get() = members.isEmpty && work.isEmpty

    /** Whether the server can be used; null while that is not known. */
    val available: Boolean? get() = watch.available

    /** Keys that take a large share of the server. */
    val hot: Set<String> get() = hotKeys.hot

    /** Fingerprints that were in flight at crashes since they were last taken. */
    val crashes: MutableSet<String> = LinkedHashSet()

    /** Takes over a new configuration. */
    fun reconfigure(next: ServiceConfiguration) {
        configuration = next
        tell(GateEvent.Reconfigured(next))
    }

    /** Takes in a request; its answer goes to [sink]. */
    fun submit(incoming: IncomingRequest, sink: AnswerSink): Ticket {
        val now = ProcessClock.monotonic()
        val refusal = admission.refusal(configuration, incoming, now)
        val shard = admission.owned(configuration, incoming.key)?.shardKey
        if (refusal == null && shard != null) {
            return offer(incoming, sink, incoming.toGateRequest(context.nextId(), shard, share = true))
        }
        sink.refuse(refusal ?: RequestError(ErrorKind.GATE_MOVED))
        return Ticket { }
    }

    /** Lets time pass and follows the lease that the controller gave, null for none. */
    fun tick(current: GateLease?, now: Long) {
        if (leaseState.follow(current, now)) leaseState.inheritedUntil(configuration, now)?.let(work::inherit)
        if (current != null) watch.tick(now)
        if (leaseState.isOpen(configuration, work.isRunning, now)) {
            val suspectUntil = leaseState.suspectUntil(now, System.currentTimeMillis())
            tell(GateEvent.Opened(suspectUntil, context.view.unrecordedAllowed))
        } else {
            tell(GateEvent.Closed)
        }
        work.tick(configuration, now)
        tell(GateEvent.Tick)
        admission.releaseSubjects(configuration)
            .forEach { tell(GateEvent.ShardReleased(admission.belongsTo(configuration, it))) }
        hotKeys.roll(now)
        context.metrics.gate(server.name.text, gate.queued, gate.allowed)
    }

    /** Whether the gate has nothing more to do with the server, so that it may be handed on. */
    fun isReleased(): Boolean =
        leaseState.isReleasing && gate.inFlight == 0 && work.isEmpty && context.recorder.isFlushed

    /** Whether nothing that was sent for the shard under [subject] can still run. */
    fun isShardReleased(subject: String): Boolean {
        val matches = admission.belongsTo(configuration, subject)
        return !gate.isBusyWith(matches) && work.isSettled(matches)
    }

    private fun offer(incoming: IncomingRequest, sink: AnswerSink, request: GateRequest): Ticket {
        members.add(GateMember(request, incoming, sink))
        tell(GateEvent.RequestSubmitted(request))
        return Ticket {
            members.remove(request.id)
            tell(GateEvent.RequestCancelled(request.id))
        }
    }

    /** Gives [member], which can't share an answer, a call of its own. */
    private fun runAlone(member: GateMember) {
        members.remove(member.request.id)
        tell(GateEvent.RequestCancelled(member.request.id))
        if (member.request.onceId != null) {
            member.sink.refuse(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer is too large to be shared"))
        } else {
            val request = member.incoming.toGateRequest(context.nextId(), member.request.shard, share = false)
            offer(member.incoming, member.sink, request)
        }
    }

    /** Tells the gate of [event]; what it decides is carried out in the order in which it was decided. */
    private fun tell(event: GateEvent) {
        effects += gate.handle(event, ProcessClock.monotonic())
        if (isRunning) return
        isRunning = true
        try {
            while (effects.isNotEmpty()) run(effects.removeFirst())
        } finally {
            isRunning = false
        }
    }

    private fun run(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> {
                val now = ProcessClock.monotonic()
                hotKeys.ran(effect.request.key, now)
                val keepBytes = configuration.limits.coalescedAnswerBytes
                work.start(ServerRun(effect.request, now, server.name.text, keepBytes, events), configuration)
            }

            is GateEffect.Attach -> attach(effect)
            is GateEffect.Refuse -> members.remove(effect.request)?.sink?.refuse(effect.error)
            is GateEffect.Replay -> members.remove(effect.request)?.sink?.replay(effect.answer, server.name.text)
            is GateEffect.RecordIntent -> records.intent(configuration, effect.request, leaseState.epoch) {
                tell(GateEvent.IntentResolved(effect.request.id, it))
            }

            is GateEffect.RecordOutcome -> records.outcome(configuration, effect, leaseState.epoch)
            is GateEffect.Cancel -> work[effect.call]?.call?.giveUp()
            is GateEffect.ReportCrash -> crashes += effect.fingerprint
        }
    }

    private fun attach(effect: GateEffect.Attach) {
        val member = members[effect.request] ?: return
        members.attach(member, effect.call)
        context.metrics.joined(configuration.service.text)
        if (work[effect.call]?.isStreaming == true) runAlone(member)
    }

    /** What the runs and the watch of the server tell the gate. */
    private inner class Events : ServerRunOwner, ServerWatchListener, SendCheck {
        override fun sinks(call: Long): List<AnswerSink> = members.of(call).map { it.sink }

        override fun detachOthers(call: Long) = members.of(call).filter { it.request.id != call }.forEach(::runAlone)

        override fun ended(run: ServerRun, end: CallResult, wire: WireEnd) {
            val now = ProcessClock.monotonic()
            val call = run.request.id
            work.remove(call)
            if (end is CallResult.Answered) members.of(call).forEach { members.remove(it.request.id) }
            val mayLinger = wire == WireEnd.GIVEN_UP
            if (mayLinger) work.linger(run, configuration, now)
            if (wire == WireEnd.CLOSED_BY_SERVER) watch.probe(now)
            tell(GateEvent.CallEnded(call, end, slotFree = !mayLinger))
        }

        override fun lost() {
            leaseState.serverLost()
            work.serverLost()
            tell(GateEvent.ServerCrashed)
        }

        override fun saysCold() {
            if (!gate.isCold) tell(GateEvent.ServerCold)
        }

        override fun sendable(request: GateRequest, now: Long): Sendable? {
            val waiting = members.of(request.id)
            val location = admission.owned(configuration, request.key)
            if (waiting.isEmpty() || location == null || !leaseState.holds(now)) return null
            val current = location.copy(gateEpoch = leaseState.epoch)
            return Sendable(waiting.first().incoming, current, waiting.maxOf { it.request.deadlineAt })
        }

        override fun settled(request: GateRequest?) {
            if (request != null) tell(GateEvent.SlotFreed)
        }
    }
}
