/*
 * A world for ownership decisions: servers that accept grants by address, faults that are drawn, coordinators that are
 * replaced, and an oracle that knows who holds which range at each moment.
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

/** Faults that a run draws from, as chances in one step of [OwnershipWorld.STEP] milliseconds. */
internal data class OwnershipFaults(
    val crash: Double = 0.0,
    val unanswered: Double = 0.0,
    val late: Double = 0.0,
    val drain: Double = 0.0,
    val evacuate: Double = 0.0,
    val takeover: Double = 0.0,
    val cut: Double = 0.0,
    val reborn: Double = 0.0,
    val pause: Double = 0.0,
    val vanish: Double = 0.0,
)

internal class OwnershipWorld(private val seed: Int, private val faults: OwnershipFaults) {
    private class Life(val entry: BackendEntry) {
        var up = true
        var listed = true
        var goneAt = Long.MAX_VALUE
        var draining = false
        var cutUntil = 0L
        val held = HashMap<Int, Pair<Long, Long>>()
    }

    private class Delivery(val at: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val lives = ArrayList<Life>()
    private val agenda = PriorityQueue<Delivery>(compareBy { it.at })
    private val seenFences = HashMap<Int, Pair<Long, ServerName>>()
    private var document = OwnershipDocument.empty(RANGES)
    private var coordinator = OwnershipCoordinator(document, 0, isNew = true)
    private var generation = 0
    private var evacuatedUntil = 0L
    private var pausedUntil = 0L
    private var now = 0L
    private var nextLife = 0

    /** What went against the rules. */
    val violations = ArrayList<String>()

    /** Ranges that were held, summed over all steps. */
    var heldSteps = 0L
        private set

    fun run(length: Long): OwnershipWorld {
        repeat(SERVERS) { start(Address("10.0.0.1", it + 1)) }
        while (now < length && violations.isEmpty()) {
            while (agenda.isNotEmpty() && agenda.peek().at <= now) agenda.poll().action()
            disturb()
            if (now >= pausedUntil) coordinator.tick(view(), CALLS, Now(now, WALL + now)).forEach(::carryOut)
            judge()
            now += STEP
        }
        return this
    }

    private fun start(address: Address, name: ServerName = ServerName("s${nextLife++}")) {
        val domain = FailureDomainName("d${address.port % DOMAINS}")
        val entry = BackendEntry(name, WALL + now, ServiceName("x"), address, domain, 2, ServerState.READY, 0)
        lives += Life(entry).also { it.listed = false }
        val life = lives.last()
        after(random.nextLong(ENTRY_DELAY)) { life.listed = life.up }
    }

    private fun disturb() {
        lives.filter { it.up }.forEach { life ->
            if (random.nextDouble() < faults.crash) crash(life)
            if (random.nextDouble() < faults.reborn) crash(life, life.entry.server)
            if (random.nextDouble() < faults.vanish && !life.draining) vanish(life)
            if (random.nextDouble() < faults.drain && !life.draining) drain(life)
            if (random.nextDouble() < faults.cut) life.cutUntil = now + random.nextLong(LONG_CUT)
        }
        lives.filter { it.listed && now >= it.goneAt }.forEach { it.listed = false }
        if (random.nextDouble() < faults.evacuate) evacuatedUntil = now + random.nextLong(LONG_CUT)
        if (random.nextDouble() < faults.takeover) takeOver()
        if (random.nextDouble() < faults.pause) pausedUntil = now + random.nextLong(LONG_CUT)
    }

    private fun crash(life: Life, next: ServerName? = null) {
        if (!life.up) return
        life.up = false
        life.held.clear()
        life.goneAt = now + LAPSE
        after(random.nextLong(LONGEST_DOWN)) {
            if (next == null) start(life.entry.address) else start(life.entry.address, next)
        }
    }

    /** Leaves in a planned way without saying so: its entry goes first. */
    private fun vanish(life: Life) {
        life.listed = false
        drain(life)
    }

    private fun drain(life: Life) {
        life.draining = true
        after(DRAIN) {
            if (life.up) {
                life.up = false
                life.listed = false
                life.held.clear()
                after(random.nextLong(LONGEST_DOWN)) { start(life.entry.address) }
            }
        }
    }

    private fun takeOver() {
        generation++
        document = document.takenOverBy("$generation")
        coordinator = OwnershipCoordinator(document, now, isNew = document.owners.isEmpty())
    }

    private fun view(): OwnershipView {
        val entries = lives.filter { it.listed }.map { life ->
            if (life.draining) life.entry.copy(state = ServerState.DRAINING) else life.entry
        }
        val evacuated = if (now < evacuatedUntil) setOf(FailureDomainName("d0")) else emptySet()
        return OwnershipView(entries, entries.associateBy { it.address }, evacuated, storeTroubled = false)
    }

    private fun carryOut(effect: OwnershipEffect) {
        val mine = generation
        val current = coordinator
        when (effect) {
            is OwnershipEffect.Write -> after(WRITE) {
                if (mine == generation) {
                    document = effect.document
                    current.onWritten(now)
                }
            }
            is OwnershipEffect.Grant -> grant(effect, mine, current)
            is OwnershipEffect.Release -> release(effect, mine, current)
        }
    }

    /** A connection is to one life: the edge asks a server for its name before the first grant on a connection. */
    private fun grant(effect: OwnershipEffect.Grant, mine: Int, current: OwnershipCoordinator) {
        val sentAt = now
        val fault = random.nextDouble()
        fun answer(result: OrderResult) {
            if (mine == generation) current.onGrant(effect, result, sentAt, now)
        }
        after(random.nextLong(1, TRANSIT)) {
            val arrivedAt = now
            val life = at(effect.owner.address)?.takeIf { it.entry.server == effect.owner.server }
            when {
                life == null -> after(1) { answer(OrderResult.NOT_SENT) }
                fault < faults.late -> {
                    after(random.nextLong(LATEST)) { accept(life, effect, arrivedAt) }
                    after(CALL_TIME) { answer(OrderResult.UNANSWERED) }
                }
                else -> {
                    val accepted = accept(life, effect, arrivedAt)
                    if (fault < faults.late + faults.unanswered) {
                        after(CALL_TIME) { answer(OrderResult.UNANSWERED) }
                    } else {
                        after(1) { answer(if (accepted) OrderResult.ACCEPTED else OrderResult.REFUSED) }
                    }
                }
            }
        }
    }

    private fun accept(life: Life, effect: OwnershipEffect.Grant, arrivedAt: Long): Boolean {
        val known = life.held[effect.range]
        val until = arrivedAt + effect.holdMilliseconds * SLOW_CLOCK / PERCENT
        val accepted = life.up && (known == null || known.first <= effect.fence)
        if (accepted && until > now) {
            checkFence(life, effect)
            life.held[effect.range] = effect.fence to maxOf(until, known?.second ?: 0)
        }
        return accepted
    }

    private fun checkFence(life: Life, effect: OwnershipEffect.Grant) {
        val highest = seenFences[effect.range]
        val other = highest != null && highest.second != life.entry.server
        if (highest != null && other && effect.fence <= highest.first) {
            violations += "seed $seed at $now: range ${effect.range}: fence ${effect.fence} granted after $highest"
        }
        if (highest == null || effect.fence > highest.first) {
            seenFences[effect.range] = effect.fence to life.entry.server
        }
    }

    private fun release(effect: OwnershipEffect.Release, mine: Int, current: OwnershipCoordinator) {
        val lost = random.nextDouble() < faults.unanswered
        after(random.nextLong(1, TRANSIT)) {
            val life = at(effect.owner.address)
            life?.held?.computeIfPresent(effect.range) { _, hold -> hold.first to 0L }
            val result = when {
                life == null -> OrderResult.NOT_SENT
                lost -> OrderResult.UNANSWERED
                else -> OrderResult.ACCEPTED
            }
            after(random.nextLong(1, RUNNING)) { if (mine == generation) current.onRelease(effect, result, "h") }
        }
    }

    private fun at(address: Address): Life? = lives.firstOrNull {
        it.up && it.entry.address == address && now >= it.cutUntil
    }

    private fun judge() {
        val holders = HashMap<Int, Life>()
        lives.filter { it.up }.forEach { life ->
            life.held.filterValues { it.second > now }.keys.forEach { range ->
                heldSteps++
                val other = holders.put(range, life)
                if (other != null) {
                    violations += "seed $seed at $now: ${other.entry.server} and ${life.entry.server} hold range $range"
                }
            }
        }
    }

    private fun after(milliseconds: Long, action: () -> Unit) {
        agenda += Delivery(now + milliseconds, action)
    }

    companion object {
        const val STEP = 20L
        const val RANGES = 24
        private const val SERVERS = 6
        private const val DOMAINS = 3
        private const val CALLS = 8
        private const val WALL = 1_000_000_000L
        private const val LAPSE = 2_600L
        private const val ENTRY_DELAY = 900L
        private const val LONGEST_DOWN = 5_000L
        private const val DRAIN = 2_500L
        private const val LONG_CUT = 9_000L
        private const val WRITE = 8L
        private const val TRANSIT = 12L
        private const val RUNNING = 600L
        private const val CALL_TIME = 1_500L
        private const val LATEST = 12_000L
        private const val SLOW_CLOCK = 102
        private const val PERCENT = 100
    }
}
