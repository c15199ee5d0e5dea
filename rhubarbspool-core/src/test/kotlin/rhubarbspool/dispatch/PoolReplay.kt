/*
 * Replays a load pattern against a pool and servers with drawn service times, on a clock of its own.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** A load: servers with their mean times, requests a second, and what an answer is worth. Times are milliseconds. */
internal data class LoadPattern(
    val name: String,
    val serverMilliseconds: List<Double>,
    val requestsPerSecond: (Long) -> Double,
    val target: Long,
    val deadline: Long,
    val lateWorth: Double,
    val spread: Double = 0.8,
    val length: Long = 20_000,
    val mode: WaitMode = WaitMode.UNTIL_DEADLINE,
)

/**
 * What became of a replay.
 *
 * @property asked callers; [refused] those that were refused in the end.
 * @property worth the share of what could be earned.
 * @property held mean time for which a request was held that was then refused, in milliseconds.
 */
internal data class ReplayResult(
    val asked: Int,
    val inTime: Int,
    val late: Int,
    val refused: Int,
    val worth: Double,
    val held: Double,
)

/** Plays [pattern]; a caller that is refused comes back once, when it was told to or after a third of its time. */
internal class PoolReplay(
    private val pattern: LoadPattern,
    seed: Int,
    order: QueueOrder = QueueOrder.ADAPTIVE,
    room: QueueRoom = QueueRoom.BY_LOAD,
) {
    private sealed interface Happening {
        data object Arrival : Happening

        data class Return(val caller: Try) : Happening

        data class End(val id: Long, val took: Long) : Happening

        data object Tick : Happening
    }

    private data class Try(val firstAt: Long, val arrivedAt: Long, val again: Boolean)

    private val random = Random(seed)
    private val pool = Pool(order, room)
    private val agenda = PriorityQueue<Pair<Long, Happening>>(compareBy { it.first })
    private val tries = HashMap<Long, Try>()
    private var next = 0L
    private var asked = 0
    private var refusals = 0
    private var held = 0L
    private var inTime = 0
    private var late = 0
    private var refused = 0

    fun run(): ReplayResult {
        pool.update(pattern.serverMilliseconds.indices.map(::entry), null, 0)
        agenda += 0L to Happening.Arrival
        agenda += 0L to Happening.Tick
        while (agenda.isNotEmpty()) {
            val (now, what) = agenda.poll()
            when (what) {
                Happening.Arrival -> arrive(now)
                is Happening.Return -> offer(what.caller, now)
                is Happening.End -> end(what, now)
                Happening.Tick -> {
                    decided(pool.tick(now), now)
                    if (now < pattern.length + pattern.deadline) agenda += now + TICK to Happening.Tick
                }
            }
        }
        val worth = (inTime + late * pattern.lateWorth) / asked
        return ReplayResult(asked, inTime, late, refused, worth, held.toDouble() / maxOf(1, refusals))
    }

    private fun offer(caller: Try, now: Long) {
        val id = next++
        tries[id] = caller
        val deadline = caller.firstAt + pattern.deadline
        decided(pool.offer(Ticket("caller", id, 1, now + pattern.target, deadline, pattern.mode), now), now)
    }

    private fun refused(id: Long, retryAfter: Long, now: Long) {
        val caller = tries.getValue(id)
        refusals++
        held += now - caller.arrivedAt
        if (caller.again) {
            refused++
        } else {
            val back = now + minOf(retryAfter, (caller.firstAt + pattern.deadline - now) / LONGEST_PAUSE_SHARE)
            agenda += back to Happening.Return(Try(caller.firstAt, back, again = true))
        }
    }

    private fun arrive(now: Long) {
        asked++
        offer(Try(now, now, again = false), now)
        val gap = -ln(1 - random.nextDouble()) * MILLISECONDS / pattern.requestsPerSecond(now)
        if (now + gap < pattern.length) agenda += now + gap.toLong() to Happening.Arrival
    }

    private fun decided(decisions: List<PoolDecision>, now: Long) = decisions.forEach { decision ->
        when (decision) {
            is PoolDecision.Permit -> {
                val mean = pattern.serverMilliseconds[decision.server.text.removePrefix("s").toInt()]
                val drawn = exp(
                    pattern.spread * random.asJavaRandom().nextGaussian() - pattern.spread * pattern.spread / 2
                )
                val took = maxOf(1L, (mean * drawn).toLong())
                agenda += now + took to Happening.End(decision.ticket.id, took)
            }
            is PoolDecision.Refuse -> refused(decision.ticket.id, decision.retryAfterMilliseconds, now)
        }
    }

    private fun end(what: Happening.End, now: Long) {
        val waited = now - tries.getValue(what.id).firstAt
        if (waited <= pattern.target) inTime++ else if (waited <= pattern.deadline) late++
        decided(pool.finished("caller", what.id, CallEnd(CallOutcome.ANSWERED, what.took), now), now)
    }

    private fun entry(index: Int) = BackendEntry(
        ServerName("s$index"),
        1,
        ServiceName("service"),
        Address("10.0.0.1", index + 1),
        FailureDomainName("domain"),
        2,
        ServerState.READY,
        0,
    )

    private companion object {
        const val MILLISECONDS = 1_000.0
        const val TICK = 20L

        /** Callers wait for at most a third of the time that they have left. */
        const val LONGEST_PAUSE_SHARE = 3
    }
}
