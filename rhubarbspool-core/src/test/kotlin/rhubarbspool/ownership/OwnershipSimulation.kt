/*
 * Seeded simulation of ownership decisions: servers that accept grants by address, random faults, coordinators that are
 * replaced, and an oracle that checks which server holds which range in each step.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Probabilities of faults: [unanswered] and [delayed] per call, the others per step of [OwnershipSimulation.STEP]
 * milliseconds.
 */
internal data class OwnershipFaults(
    val crash: Double = 0.0,
    val unanswered: Double = 0.0,
    val delayed: Double = 0.0,
    val drain: Double = 0.0,
    val evacuate: Double = 0.0,
    val takeover: Double = 0.0,
    val unreachable: Double = 0.0,
    val restartSameName: Double = 0.0,
    val pause: Double = 0.0,
    val leaveUnannounced: Double = 0.0,
    val hotArea: Double = 0.0,
    val restore: Double = 0.0,
)

internal class OwnershipSimulation(private val seed: Int, private val faults: OwnershipFaults) {
    private class Incarnation(val entry: BackendEntry) {
        var up = true
        var listed = true
        var entryExpiresAt = Long.MAX_VALUE
        var draining = false
        var unreachableUntil = 0L

        /** Fencing token and end of the hold, by key. */
        val held = HashMap<Int, Pair<Long, Long>>()
    }

    private class Event(val at: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val incarnations = ArrayList<Incarnation>()
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private val highestFences = HashMap<Int, Pair<Long, ServerName>>()
    private var document = OwnershipDocument.empty(RANGES)
    private var coordinator = OwnershipCoordinator(document, 0, isNew = true)
    private var generation = 0
    private val written = ArrayList<Pair<Long, OwnershipDocument>>()
    private var restoringUntil = 0L
    private var epoch = 0L
    private var evacuatedUntil = 0L
    private var pausedUntil = 0L
    private var now = 0L
    private var nextServer = 0

    /** Violated invariants. */
    val violations = ArrayList<String>()

    /** Number of held keys, summed over all steps. */
    var heldSteps = 0L
        private set

    /** Most ranges that a written document had. */
    var mostRanges = RANGES
        private set

    fun run(length: Long): OwnershipSimulation {
        repeat(SERVERS) { start(Address("10.0.0.1", it + 1)) }
        while (now < length && violations.isEmpty()) {
            while (events.isNotEmpty() && events.peek().at <= now) events.poll().action()
            injectFaults()
            if (random.nextDouble() < faults.hotArea) reportHotArea()
            val isAtWork = now >= maxOf(pausedUntil, restoringUntil)
            if (isAtWork) coordinator.tick(view(), CALLS, Now(now, WALL + now)).forEach(::execute)
            checkInvariants()
            now += STEP
        }
        return this
    }

    private fun start(address: Address, name: ServerName = ServerName("s${nextServer++}")) {
        val domain = FailureDomainName("d${address.port % DOMAINS}")
        val entry = BackendEntry(name, WALL + now, ServiceName("x"), address, domain, 2, ServerState.READY, 0)
        incarnations += Incarnation(entry).also { it.listed = false }
        val server = incarnations.last()
        schedule(random.nextLong(ENTRY_DELAY)) { server.listed = server.up }
    }

    private fun injectFaults() {
        incarnations.filter { it.up }.forEach { server ->
            if (random.nextDouble() < faults.crash) crash(server)
            if (random.nextDouble() < faults.restartSameName) crash(server, server.entry.server)
            if (random.nextDouble() < faults.leaveUnannounced && !server.draining) leaveUnannounced(server)
            if (random.nextDouble() < faults.drain && !server.draining) drain(server)
            if (random.nextDouble() < faults.unreachable) server.unreachableUntil = now + random.nextLong(LONGEST_FAULT)
        }
        incarnations.filter { it.listed && now >= it.entryExpiresAt }.forEach { it.listed = false }
        injectControlFaults()
    }

    private fun injectControlFaults() {
        if (random.nextDouble() < faults.evacuate) evacuatedUntil = now + random.nextLong(LONGEST_FAULT)
        if (random.nextDouble() < faults.takeover && now >= restoringUntil) replaceCoordinator()
        if (faults.restore > 0 && random.nextDouble() < faults.restore && now >= restoringUntil) restore()
        if (random.nextDouble() < faults.pause) pausedUntil = now + random.nextLong(LONGEST_FAULT)
    }

    private fun crash(server: Incarnation, next: ServerName? = null) {
        if (!server.up) return
        server.up = false
        server.held.clear()
        server.entryExpiresAt = now + ENTRY_EXPIRY
        schedule(random.nextLong(LONGEST_DOWN)) {
            if (next == null) start(server.entry.address) else start(server.entry.address, next)
        }
    }

    /** Planned stop that is not announced: the server's entry is removed first. */
    private fun leaveUnannounced(server: Incarnation) {
        server.listed = false
        drain(server)
    }

    private fun drain(server: Incarnation) {
        server.draining = true
        schedule(DRAIN_TIME) {
            if (server.up) {
                server.up = false
                server.listed = false
                server.held.clear()
                schedule(random.nextLong(LONGEST_DOWN)) { start(server.entry.address) }
            }
        }
    }

    private fun replaceCoordinator() {
        generation++
        document = document.takenOverBy("$generation")
        coordinator = OwnershipCoordinator(document, now, isNew = document.owners.isEmpty())
    }

    /**
     * The table returns with an earlier document, and no process knows the last one. The next coordinator waits until
     * all holds have run out.
     */
    private fun restore() {
        val copiedAt = now - random.nextLong(LONGEST_FAULT)
        val copy = written.lastOrNull { it.first <= copiedAt }?.second ?: OwnershipDocument.empty(RANGES)
        generation++
        epoch++
        restoringUntil = now + HoldTimes.LONGEST_HOLD
        schedule(HoldTimes.LONGEST_HOLD) {
            document = copy.withoutOwners(epoch - copy.epoch)
            replaceCoordinator()
        }
    }

    private fun view(): OwnershipView {
        val entries = incarnations.filter { it.listed }.map { server ->
            if (server.draining) server.entry.copy(state = ServerState.DRAINING) else server.entry
        }
        val evacuated = if (now < evacuatedUntil) setOf(FailureDomainName("d0")) else emptySet()
        return OwnershipView(entries, entries.associateBy { it.address }, evacuated, isTableUnavailable = false)
    }

    private fun execute(effect: OwnershipEffect) {
        val issuedIn = generation
        val issuer = coordinator
        when (effect) {
            is OwnershipEffect.Write -> schedule(WRITE_TIME) {
                if (issuedIn == generation) {
                    document = effect.document.copy(epoch = epoch)
                    written += now to document
                    mostRanges = maxOf(mostRanges, document.ranges)
                    issuer.onWritten(now)
                }
            }
            is OwnershipEffect.Grant -> grant(effect, issuedIn, issuer)
            is OwnershipEffect.Release -> release(effect, issuedIn, issuer)
        }
    }

    /** A connection reaches one incarnation: the client asks for the server's name before the first grant on it. */
    private fun grant(effect: OwnershipEffect.Grant, issuedIn: Int, issuer: OwnershipCoordinator) {
        val sentAt = now
        val fault = random.nextDouble()
        fun respond(result: OrderResult) {
            if (issuedIn == generation) issuer.onGrant(effect, result, sentAt, now)
        }
        schedule(random.nextLong(1, TRANSIT)) {
            val arrivedAt = now
            val server = reachableAt(effect.owner.address)?.takeIf { it.entry.server == effect.owner.server }
            when {
                server == null -> schedule(1) { respond(OrderResult.NOT_SENT) }
                fault < faults.delayed -> {
                    schedule(random.nextLong(LONGEST_DELAY)) { accept(server, effect, arrivedAt) }
                    schedule(CALL_TIMEOUT) { respond(OrderResult.UNANSWERED) }
                }
                else -> {
                    val accepted = accept(server, effect, arrivedAt)
                    if (fault < faults.delayed + faults.unanswered) {
                        schedule(CALL_TIMEOUT) { respond(OrderResult.UNANSWERED) }
                    } else {
                        schedule(1) { respond(if (accepted) OrderResult.ACCEPTED else OrderResult.REFUSED) }
                    }
                }
            }
        }
    }

    /** A few neighbouring keys are so busy that their ranges are split and parts of them moved. */
    private fun reportHotArea() {
        val first = random.nextInt(OwnershipDocument.KEYS / KEY_STEP - HOT_KEYS)
        (first until first + HOT_KEYS).forEach { coordinator.load.recordRequests(it * KEY_STEP, HOT_REQUESTS, now) }
    }

    /** The keys of [range] that the oracle follows. */
    private fun followedKeys(range: KeyRange) =
        (range.first + KEY_STEP - 1) / KEY_STEP * KEY_STEP..range.last step KEY_STEP

    private fun accept(server: Incarnation, effect: OwnershipEffect.Grant, arrivedAt: Long): Boolean {
        val keys = followedKeys(effect.keys)
        val until = arrivedAt + effect.holdMilliseconds * SLOW_CLOCK / PERCENT
        val accepted = server.up && keys.all { (server.held[it]?.first ?: 0) <= effect.fence }
        if (accepted && until > now) {
            keys.forEach { key ->
                checkFence(server, key, effect.fence)
                server.held[key] = effect.fence to maxOf(until, server.held[key]?.second ?: 0)
            }
        }
        return accepted
    }

    private fun checkFence(server: Incarnation, key: Int, fence: Long) {
        val highest = highestFences[key]
        val other = highest != null && highest.second != server.entry.server
        if (highest != null && other && fence <= highest.first) {
            violations += "seed $seed at $now: key $key: fence $fence granted after $highest"
        }
        if (highest == null || fence > highest.first) highestFences[key] = fence to server.entry.server
    }

    private fun release(effect: OwnershipEffect.Release, issuedIn: Int, issuer: OwnershipCoordinator) {
        val lost = random.nextDouble() < faults.unanswered
        schedule(random.nextLong(1, TRANSIT)) {
            val server = reachableAt(effect.owner.address)
            followedKeys(effect.keys).forEach { server?.held?.computeIfPresent(it) { _, hold -> hold.first to 0L } }
            val result = when {
                server == null -> OrderResult.NOT_SENT
                lost -> OrderResult.UNANSWERED
                else -> OrderResult.ACCEPTED
            }
            schedule(random.nextLong(1, RELEASE_TIME)) {
                if (issuedIn == generation) issuer.onRelease(effect, result, "h")
            }
        }
    }

    private fun reachableAt(address: Address): Incarnation? = incarnations.firstOrNull {
        it.up && it.entry.address == address && now >= it.unreachableUntil
    }

    private fun checkInvariants() {
        val holders = HashMap<Int, Incarnation>()
        incarnations.filter { it.up }.forEach { server ->
            server.held.filterValues { it.second > now }.keys.forEach { key ->
                heldSteps++
                val other = holders.put(key, server)
                if (other != null) {
                    violations += "seed $seed at $now: ${other.entry.server}, ${server.entry.server} hold key $key"
                }
            }
        }
    }

    private fun schedule(milliseconds: Long, action: () -> Unit) {
        events += Event(now + milliseconds, action)
    }

    companion object {
        const val STEP = 20L
        const val RANGES = 24

        /** One key in this many is followed by the oracle. */
        private const val KEY_STEP = 128
        private const val HOT_KEYS = 12
        private const val HOT_REQUESTS = 12
        private const val SERVERS = 6
        private const val DOMAINS = 3
        private const val CALLS = 8
        private const val WALL = 1_000_000_000L
        private const val ENTRY_EXPIRY = 2_600L
        private const val ENTRY_DELAY = 900L
        private const val LONGEST_DOWN = 5_000L
        private const val DRAIN_TIME = 2_500L
        private const val LONGEST_FAULT = 9_000L
        private const val WRITE_TIME = 8L
        private const val TRANSIT = 12L
        private const val RELEASE_TIME = 600L
        private const val CALL_TIMEOUT = 1_500L
        private const val LONGEST_DELAY = 12_000L
        private const val SLOW_CLOCK = 102
        private const val PERCENT = 100
    }
}
