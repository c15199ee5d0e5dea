/*
 * Runs the gate of one backend server: hands it the requests, carries out its decisions over connections to the
 * server, and brings what happened back to it. The lease is checked again right before each send.
 */
package rhubarbspool.router

import io.netty.channel.Channel
import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.gate.CallEnd
import rhubarbspool.gate.GateEffect
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.IntentResult
import rhubarbspool.gate.RecordedAnswer
import rhubarbspool.gate.ServerGate
import rhubarbspool.routing.KeyLocation
import rhubarbspool.routing.KeyLocator
import rhubarbspool.table.OnceBody
import rhubarbspool.table.RowKeys

/** The gate of [server] in this process. */
internal class GateHost(
    private val context: RouterContext,
    private val server: BackendServer,
    private var configuration: ServiceConfiguration,
) : ServerRunOwner, ServerWatchListener {
    private class Member(val request: GateRequest, val incoming: IncomingRequest, val sink: AnswerSink, var call: Long)

    /** Work that was given up and that the server may still be at. */
    private class Lingering(val request: GateRequest?, val until: Long)

    private val gate = ServerGate(configuration, context.suspects(configuration.service))
    private val connections = ServerConnections(context.group, server.address, configuration.limits.connections)
    private val watch = ServerWatch(server, context.serverClient, this)
    private val hotKeys = HotKeyCounter()
    private val members = LinkedHashMap<Long, Member>()
    private val runs = HashMap<Long, ServerRun>()
    private val lingering = ArrayList<Lingering>()
    private val crashes = LinkedHashSet<String>()
    private var lease: GateLease? = null
    private var epoch = 0L
    private var acquiredAt = 0L
    private var lostSince = false

    /** Whether nothing is left here, so that the host may be dropped. */
    val isIdle: Boolean get() = members.isEmpty() && runs.isEmpty() && lingering.isEmpty()

    /** Whether the server can be used; null while that is not known. */
    val available: Boolean? get() = watch.available

    /** Keys that take a large share of the server. */
    val hot: Set<String> get() = hotKeys.hot

    /** Fingerprints that were in flight at crashes since the last call. */
    fun takeCrashes(): List<String> = crashes.toList().also { crashes.clear() }

    /** Takes over a new configuration. */
    fun reconfigure(next: ServiceConfiguration) {
        configuration = next
        gate.reconfigure(next)
    }

    /** Takes in a request; its answer goes to [sink]. */
    fun submit(incoming: IncomingRequest, sink: AnswerSink): Ticket {
        val now = ProcessClock.monotonic()
        val refusal = refusalOf(incoming, now)
        if (refusal != null) {
            sink.refuse(refusal)
            return Ticket { }
        }
        val shard = KeyLocator.shardKey(context.view.rows, configuration, incoming.key)
        return offer(incoming, sink, gateRequest(incoming, shard, share = true), now)
    }

    /** Lets time pass and follows the lease that the controller gave, null for none. */
    fun tick(current: GateLease?, now: Long) {
        lease = current
        follow(now)
        lingering.filter { it.until <= now }.forEach { settle(it, now) }
        runs.values.filter { isSilent(it, now) }.forEach { it.call?.giveUp() }
        run(gate.tick(now))
        releasePredicates().forEach { run(gate.releaseShards(it)) }
        connections.closeIdle(now)
        hotKeys.roll(now)
        context.metrics.gate(server.name.text, gate.waiting, gate.allowed)
    }

    /** Whether the gate has nothing more to do with the server, so that it may be handed on. */
    fun isReleased(): Boolean =
        lease?.releaseOrder != 0L && gate.running == 0 && runs.isEmpty() && lingering.isEmpty() && context.recorder.isFlushed

    /** Whether nothing that was sent for the shard under [subject] can still run. */
    fun isShardReleased(subject: String): Boolean {
        val matches = releasePredicate(subject)
        return !gate.isBusyWith(matches) && lingering.none { it.request == null || matches(it.request) } &&
            runs.values.none { matches(it.request) }
    }

    override fun sinks(call: Long): List<AnswerSink> = members.values.filter { it.call == call }.map { it.sink }

    override fun detachOthers(call: Long) {
        members.values.filter { it.call == call && it.request.id != call }.toList().forEach(::runAlone)
    }

    override fun ended(run: ServerRun, end: CallEnd, wire: WireEnd) {
        val now = ProcessClock.monotonic()
        runs.remove(run.request.id)
        if (end is CallEnd.Answered) members.values.removeAll { it.call == run.request.id }
        val unsettled = wire == WireEnd.GIVEN_UP
        if (unsettled) linger(run, now)
        if (wire == WireEnd.CLOSED_BY_SERVER) watch.probe(now)
        run(gate.finished(run.request.id, end, now, slotFree = !unsettled))
    }

    override fun lost() {
        val now = ProcessClock.monotonic()
        lostSince = true
        connections.forgetIdle()
        lingering.toList().forEach { settle(it, now) }
        run(gate.serverCrashed(now))
    }

    override fun saysCold() {
        if (!gate.cold) gate.serverCold()
    }

    private fun refusalOf(incoming: IncomingRequest, now: Long): RequestError? {
        val location = KeyLocator.locate(context.view.rows, configuration, incoming.key)
        val owned = location != null && location.server == server.name &&
            location.shardVersion <= context.view.completeRevision
        return when {
            location == null -> RequestError(ErrorKind.NO_OWNER, retryAfterMilliseconds = BACK_SOON)
            !owned || !usable(now) -> RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = BACK_SOON)
            releasing(incoming.key, location.shardKey) -> RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = BACK_SOON)
            isLeaving(now) -> RequestError(ErrorKind.NO_OWNER, "server is leaving", BACK_LATER)
            else -> null
        }
    }

    private fun usable(now: Long): Boolean = lease?.let { it.releaseOrder == 0L && now < it.leaseUntil } ?: false

    private fun isLeaving(now: Long): Boolean {
        val since = listOfNotNull(watch.leavingSince, context.view.draining.since(server, now)).minOrNull()
        return since != null && now - since > LEAVING_MILLISECONDS
    }

    private fun releasing(key: String, shardKey: String): Boolean =
        shardKey in context.view.releases || RowKeys.hotShard(configuration.service, key) in context.view.releases

    private fun releasePredicates(): List<(GateRequest) -> Boolean> = context.view.releases.keys.map(::releasePredicate)

    private fun releasePredicate(subject: String): (GateRequest) -> Boolean =
        { it.shard == subject || RowKeys.hotShard(configuration.service, it.key) == subject }

    private fun gateRequest(incoming: IncomingRequest, shard: String, share: Boolean): GateRequest {
        val fingerprint = incoming.fingerprint()
        return GateRequest(
            id = context.nextId(),
            key = incoming.key,
            shard = shard,
            caller = incoming.caller,
            kind = incoming.route.kind,
            priority = incoming.route.priority,
            fingerprint = fingerprint,
            deadlineAt = incoming.deadlineAt,
            coalesceKey = fingerprint.takeIf { share && incoming.route.coalesce },
            onceId = incoming.requestId.takeIf { incoming.route.kind == RunKind.ONCE },
        )
    }

    private fun offer(incoming: IncomingRequest, sink: AnswerSink, request: GateRequest, now: Long): Ticket {
        members[request.id] = Member(request, incoming, sink, request.id)
        run(gate.offer(request, now))
        return Ticket {
            members.remove(request.id)
            run(gate.leave(request.id))
        }
    }

    private fun runAlone(member: Member) {
        run(gate.leave(member.request.id))
        members.remove(member.request.id)
        if (member.request.onceId != null) {
            member.sink.refuse(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer is too large to be shared"))
            return
        }
        val request = gateRequest(member.incoming, member.request.shard, share = false)
        offer(member.incoming, member.sink, request, ProcessClock.monotonic())
    }

    /** Opens the gate once the server took the grant and has nothing left of an earlier gate; closes it in time. */
    private fun follow(now: Long) {
        val current = lease
        if (current != null && current.epoch != epoch) {
            epoch = current.epoch
            acquiredAt = now
            lostSince = false
            if (!server.checksGrants) {
                lingering += Lingering(null, now + configuration.limits.maximumExecutionMilliseconds)
            }
        }
        if (current == null || !usable(now)) {
            run(gate.close())
        } else {
            watch.grant(epoch, current.leaseUntil, now)
            val settled = watch.reportedRunning == 0 || runs.isNotEmpty() || lostSince ||
                now - acquiredAt > configuration.limits.maximumExecutionMilliseconds
            if (settled && watch.grantedEpoch == epoch) openGate(current, now)
        }
        if (current != null) watch.tick(now)
    }

    private fun openGate(current: GateLease, now: Long) {
        val suspectUntil = if (current.suspectUntilWall == 0L) {
            Long.MIN_VALUE
        } else {
            now + current.suspectUntilWall - System.currentTimeMillis()
        }
        gate.open(suspectUntil, context.view.unrecordedAllowed)
    }

    private fun isSilent(run: ServerRun, now: Long): Boolean {
        val call = run.call ?: return false
        return now - call.progressAt > configuration.limits.silenceMilliseconds
    }

    private fun linger(run: ServerRun, now: Long) {
        val until = if (server.checksGrants) {
            maxOf(now, watch.grantEndsAt)
        } else {
            run.sentAt + configuration.limits.maximumExecutionMilliseconds
        }
        val entry = Lingering(run.request, until)
        lingering += entry
        watch.cancel("${run.request.id}") { settle(entry, ProcessClock.monotonic()) }
    }

    private fun settle(entry: Lingering, now: Long) {
        if (lingering.remove(entry) && entry.request != null) run(gate.slotFreed(now))
    }

    private fun run(effects: List<GateEffect>) = effects.forEach(::run)

    private fun run(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> dispatch(effect.request)
            is GateEffect.Attach -> attach(effect)
            is GateEffect.Refuse -> members.remove(effect.request)?.sink?.refuse(effect.error)
            is GateEffect.Replay -> members.remove(effect.request)?.sink?.replay(effect.answer, server.name.text)
            is GateEffect.RecordIntent -> recordIntent(effect.request)
            is GateEffect.RecordOutcome -> recordOutcome(effect)
            is GateEffect.Cancel -> runs[effect.call]?.let { it.call?.giveUp() }
            is GateEffect.ReportCrash -> crashes += effect.fingerprint
        }
    }

    private fun attach(effect: GateEffect.Attach) {
        val member = members[effect.request] ?: return
        member.call = effect.call
        context.metrics.joined(configuration.service.text)
        if (runs[effect.call]?.isStreaming == true) runAlone(member)
    }

    private fun recordIntent(request: GateRequest) {
        val incoming = members[request.id]?.incoming ?: return
        val key = OnceRecorder.keyOf(incoming, requireNotNull(request.onceId))
        val body = OnceBody(configuration.service, request.fingerprint, epoch)
        context.recorder.recordIntent(key, body, expireSeconds()) { result ->
            val unrecorded = result is IntentResult.Unavailable && context.view.unrecordedAllowed
            if (unrecorded) context.recorder.ranUnrecorded(key, body, expireSeconds())
            run(gate.intentResolved(request.id, result, ProcessClock.monotonic()))
        }
    }

    private fun recordOutcome(effect: GateEffect.RecordOutcome) {
        val key = RowKeys.once(configuration.service, effect.onceId)
        val body = OnceBody(configuration.service, effect.fingerprint, epoch)
        context.recorder.recordOutcome(key, body, effect.answer, expireSeconds())
    }

    private fun expireSeconds(): Long = configuration.repeatWindowMilliseconds / MILLISECONDS_PER_SECOND + 1

    private fun dispatch(request: GateRequest) {
        val now = ProcessClock.monotonic()
        val run = ServerRun(request, now, server.name.text, configuration.limits.coalescedAnswerBytes, this)
        runs[request.id] = run
        connections.acquire { acquired ->
            acquired.fold(
                { channel -> send(run, channel) },
                {
                    watch.probe(ProcessClock.monotonic())
                    run.end(WireEnd.NOT_SENT)
                },
            )
        }
    }

    private fun send(run: ServerRun, channel: Channel) {
        val now = ProcessClock.monotonic()
        val incoming = members.values.firstOrNull { it.call == run.request.id }?.incoming
        val location = incoming?.let { KeyLocator.locate(context.view.rows, configuration, it.key) }
        val lawful = location != null && location.server == server.name && now < (lease?.leaseUntil ?: 0)
        if (incoming == null || location == null || !lawful) {
            connections.release(channel)
            run.end(WireEnd.NOT_SENT)
            return
        }
        val remaining = members.values.filter { it.call == run.request.id }.maxOf { it.request.deadlineAt } - now
        val message = ServerHeaders.request(
            incoming,
            server.address,
            location.copy(gateEpoch = epoch),
            "${run.request.id}",
            minOf(remaining, configuration.limits.maximumExecutionMilliseconds),
        )
        val call = ServerCall(channel, message, Releasing(run, channel))
        run.call = call
        hotKeys.ran(incoming.key, now)
        context.metrics.ran(configuration.service.text)
        call.start()
    }

    /** Gives the connection back before the run is reported as ended, so that the next run finds it. */
    private inner class Releasing(private val run: ServerRun, private val channel: Channel) : ServerCallListener by run {
        override fun end(end: WireEnd) {
            if (end == WireEnd.WHOLE) connections.release(channel)
            run.end(end)
        }
    }

    private companion object {
        const val BACK_SOON = 500L
        const val BACK_LATER = 2_000L
        const val LEAVING_MILLISECONDS = 2_000L
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

private fun AnswerSink.replay(answer: RecordedAnswer, server: String) {
    val headers = listOfNotNull(answer.contentType?.let { Header("content-type", it) }, Header("rhubarbspool-replayed", "true"))
    head(AnswerHead(answer.status, headers, server))
    answer.body?.let { body(it.toByteArray()) }
    complete()
}
