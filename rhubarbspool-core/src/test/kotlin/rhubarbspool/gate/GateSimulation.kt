/*
 * Seeded simulation of a gate, its backend server, the records at the table and callers that repeat requests, under one
 * clock. It drives the production code of the gate; a simple oracle counts runs and answers.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.Limits
import rhubarbspool.configuration.Priority
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.Outcome
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import kotlin.random.Random

/** An invariant towards a caller or the server is broken. */
internal class InvariantViolation(message: String) : RuntimeException(message)

internal class GateSimulation(seed: Long, private val policy: GatePolicy = GatePolicy()) {
    private class Running(val request: GateRequest, val endsAt: Long)

    private class Record(val fingerprint: String, val answer: RecordedAnswer?)

    private val random = Random(seed)
    private val suspects = CrashSuspects()
    private val records = HashMap<String, Record>()
    private val running = ArrayList<Running>()
    private val abandoned = ArrayList<Pair<Long, ServerGate>>()
    private val pending = ArrayList<Pair<Long, () -> Unit>>()
    private val requests = HashMap<Long, GateRequest>()
    private val answers = HashMap<Long, Int>()
    private val callOf = HashMap<Long, Long>()
    private val runsByOnceId = HashMap<String, Int>()
    private val effects = ArrayDeque<GateEffect>()
    private var executing = false
    private val submittedIds = HashSet<String>()
    private val sentCalls = HashSet<Long>()
    private val crashes = HashMap<String, Int>()
    private var gate = newGate()
    private var now = 1_000L
    private var nextId = 0L
    private var coldUntil = 0L
    private var tableUnavailable = false
    private var gateOpened = false

    fun run() {
        repeat(STEPS) {
            now += random.nextLong(1, 15)
            step()
            check()
        }
        tableUnavailable = false
        repeat(FINAL_STEPS) {
            now += 20
            advance()
        }
        checkAllAnswered()
    }

    private fun newGate() = ServerGate(configuration, suspects, policy)

    private fun step() {
        when (random.nextInt(40)) {
            in 0..17 -> submit()
            18 -> crash()
            19 -> moveGate()
            20 -> tableUnavailable = !tableUnavailable
            21 -> running.randomOrNull(random)?.let { breakConnection(it) }
            22 -> requests.keys.randomOrNull(random)?.let { cancelRequest(it) }
            23 -> shed()
        }
        advance()
    }

    private fun advance() {
        if (!gateOpened && running.isEmpty() && abandoned.isEmpty()) {
            gateOpened = true
            handleEvent(GateEvent.Opened())
        }
        pending.filter { it.first <= now }.also { pending.removeAll(it.toSet()) }.forEach { it.second() }
        abandoned.filter { it.first <= now }.also { abandoned.removeAll(it.toSet()) }
            .forEach { (_, owner) -> owner.handle(GateEvent.SlotFreed, now).let(::executeAll) }
        running.filter { it.endsAt <= now }.forEach { finish(it, CallResult.Answered(200)) }
        handleEvent(GateEvent.Tick)
    }

    private fun handleEvent(event: GateEvent) = gate.handle(event, now).let(::executeAll)

    private fun submit() {
        val once = random.nextInt(3) == 0
        val key = "key-${random.nextInt(6)}"
        val poison = !once && random.nextInt(60) == 0
        val onceId = if (once) "once-${random.nextInt(maxOf(1, runsByOnceId.size + 5))}" else null
        val usual = "${onceId ?: "read"}-${onceId?.hashCode()?.rem(3) ?: key}"
        val fingerprint = if (poison) "poison-${random.nextInt(2)}" else usual
        val request = GateRequest(
            id = ++nextId,
            key = key,
            shard = "shard",
            caller = "caller-${random.nextInt(4)}",
            kind = if (once) RunKind.ONCE else RunKind.REPEATABLE,
            priority = Priority.entries.random(random),
            fingerprint = fingerprint,
            deadlineAt = now + random.nextLong(5, 400),
            coalesceKey = fingerprint.takeIf { !once && random.nextBoolean() },
            onceId = onceId,
            firstAttempt = onceId != null && submittedIds.add(onceId),
        )
        requests[request.id] = request
        callOf[request.id] = request.id
        handleEvent(GateEvent.RequestSubmitted(request))
    }

    /** Effects are executed in the order in which the gate returned them. */
    private fun executeAll(more: List<GateEffect>) {
        effects += more
        if (executing) return
        executing = true
        while (effects.isNotEmpty()) execute(effects.removeFirst())
        executing = false
    }

    private fun execute(effect: GateEffect) {
        when (effect) {
            is GateEffect.Dispatch -> send(effect.request)
            is GateEffect.Attach -> callOf[effect.request] = effect.call
            is GateEffect.Refuse -> onRefused(effect)
            is GateEffect.Replay -> recordAnswer(effect.request)
            is GateEffect.RecordIntent -> recordIntent(effect.request)
            is GateEffect.RecordOutcome -> if (!tableUnavailable) {
                records[effect.onceId] = Record(effect.fingerprint, effect.answer)
            }

            is GateEffect.Cancel -> running.firstOrNull { it.request.id == effect.call }?.let { breakConnection(it) }
            is GateEffect.ReportCrash -> Unit
        }
    }

    private fun send(request: GateRequest) {
        if (random.nextInt(30) == 0) return failBeforeSending(request)
        sentCalls += request.id
        checkRun(request)
        running += Running(request, now + random.nextLong(1, 60))
        val limit = if (now < coldUntil) configuration.coldStart.slots else configuration.limits.slots
        if (running.size + abandoned.size > limit) throw InvariantViolation("${running.size} in flight, allowed $limit")
        if ("poison" in request.fingerprint) crash()
    }

    private fun failBeforeSending(request: GateRequest) {
        val sender = gate
        pending += now to {
            sender.handle(GateEvent.CallEnded(request.id, CallResult.NotSent), now).let(::executeAll)
        }
    }

    private fun checkRun(request: GateRequest) {
        val runs = request.onceId?.let { runsByOnceId.merge(it, 1, Int::plus) } ?: 1
        if (runs != 1) throw InvariantViolation("${request.onceId} ran twice")
        if ((crashes[request.fingerprint] ?: 0) >= 2) throw InvariantViolation("third run of ${request.fingerprint}")
    }

    private fun finish(run: Running, result: CallResult, slotFree: Boolean = true) {
        running -= run
        val members = requests.values.filter { callOf[it.id] == run.request.id && it.id !in answers }
        if (result is CallResult.Answered) {
            members.forEach { member ->
                if (member.fingerprint != run.request.fingerprint) throw InvariantViolation("answer of another request")
                recordAnswer(member.id)
            }
        }
        handleEvent(GateEvent.CallEnded(run.request.id, result, slotFree))
    }

    private fun breakConnection(run: Running) {
        val stillRuns = random.nextBoolean()
        if (stillRuns) abandoned += now + random.nextLong(1, 100) to gate
        finish(
            run,
            CallResult.Broken(answerBegan = random.nextInt(4) == 0, byServer = random.nextBoolean()),
            slotFree = !stillRuns
        )
    }

    private fun shed() {
        val run = running.firstOrNull { it.request.kind == RunKind.REPEATABLE } ?: return
        sentCalls -= run.request.id
        finish(run, CallResult.Shed(100))
    }

    private fun crash() {
        coldUntil = now + 300
        val poisonedInFlight = running.map { it.request.fingerprint }.filter { "poison" in it }.toSet()
        poisonedInFlight.forEach { crashes.merge(it, 1, Int::plus) }
        handleEvent(GateEvent.ServerCrashed)
        abandoned.toList().forEach { entry ->
            abandoned -= entry
            entry.second.handle(GateEvent.SlotFreed, now).let(::executeAll)
        }
        running.toList().forEach { finish(it, CallResult.Broken()) }
    }

    /** Moves the gate to another instance, which knows only the records at the table. */
    private fun moveGate() {
        handleEvent(GateEvent.Closed)
        running.toList().forEach { finish(it, CallResult.Broken()) }
        abandoned.clear()
        pending.clear()
        requests.keys.filter { it !in answers }.forEach { cancelRequest(it) }
        gate = newGate()
        gateOpened = false
    }

    private fun cancelRequest(id: Long) {
        if (id in answers) return
        answers[id] = 1
        handleEvent(GateEvent.RequestCancelled(id))
    }

    private fun recordIntent(request: GateRequest) {
        val id = requireNotNull(request.onceId)
        val askingGate = gate
        val found = records[id]
        val result = when {
            tableUnavailable -> IntentResult.Unavailable
            found == null -> IntentResult.Recorded.also { records[id] = Record(request.fingerprint, null) }
            else -> IntentResult.Duplicate(found.fingerprint, found.answer)
        }
        val at = now + random.nextLong(1, 80)
        pending += at to { askingGate.handle(GateEvent.IntentResolved(request.id, result), now).let(::executeAll) }
    }

    private fun onRefused(effect: GateEffect.Refuse) {
        val request = requests.getValue(effect.request)
        val reported = if (request.onceId == null) effect.error else effect.error.forOnceOnly(request.firstAttempt)
        val wasSent = callOf[request.id] in sentCalls || (runsByOnceId[request.onceId] ?: 0) > 0
        val notRun = reported.kind.outcome == Outcome.NOT_RUN
        if (notRun && wasSent && reported.kind != ErrorKind.REQUEST_ID_REUSED) {
            throw InvariantViolation("${reported.kind} says that the request was not run, but it was sent: $request")
        }
        if (notRun && reported.kind.retryable && reported.retryAfterMilliseconds == null) {
            throw InvariantViolation("${reported.kind} has no retry delay")
        }
        recordAnswer(effect.request)
    }

    private fun recordAnswer(id: Long) {
        if (answers.merge(id, 1, Int::plus) != 1) throw InvariantViolation("request $id was answered twice")
    }

    private fun check() {
        val overdue = requests.values.firstOrNull { it.id !in answers && it.deadlineAt < now - 1 }
        if (overdue != null) throw InvariantViolation("request ${overdue.id} was not answered by its deadline")
    }

    private fun checkAllAnswered() {
        val open = requests.keys.filter { it !in answers }
        if (open.isNotEmpty()) throw InvariantViolation("requests without an answer: $open")
        if (gate.inFlight != 0 || gate.queued != 0) throw InvariantViolation("${gate.inFlight} calls still in flight")
    }

    companion object {
        private const val STEPS = 600
        private const val FINAL_STEPS = 60

        val configuration = ServiceConfiguration(
            ServiceName("ledger"),
            shards = 1,
            routes = listOf(Route("read", "GET", "/{key}")),
            servers = listOf(BackendServer(ServerName("a"), Address("127.0.0.1", 1), FailureDomainName("d"))),
            limits = Limits(slots = 3, queueLength = 20),
        )
    }
}
