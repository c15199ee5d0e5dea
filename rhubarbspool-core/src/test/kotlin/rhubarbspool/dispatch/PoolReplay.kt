/*
 * Discrete-event simulation of a load pattern against a pool and servers with random service times.
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

/** Load: mean service times of the servers, arrival rate, and value of late responses. Times are milliseconds. */
internal data class LoadPattern(
    val name: String,
    val serverMilliseconds: List<Double>,
    val requestsPerSecond: (Long) -> Double,
    val target: Long,
    val deadline: Long,
    val lateValue: Double,
    val spread: Double = 0.8,
    val length: Long = 20_000,
    val mode: WaitMode = WaitMode.UNTIL_DEADLINE,
)

/**
 * Outcome of a replay.
 *
 * @property callers number of callers; [refused] of them were refused in the end.
 * @property value mean value of the response to a caller; 1 if it is in time, 0 without a response.
 * @property holdTime mean time in milliseconds that refused requests waited before they were refused.
 */
internal data class ReplayResult(
    val callers: Int,
    val inTime: Int,
    val late: Int,
    val refused: Int,
    val value: Double,
    val holdTime: Double,
)

/** Replays [pattern]. A refused caller retries once, after the time it was told or a third of its remaining time. */
internal class PoolReplay(
    private val pattern: LoadPattern,
    seed: Int,
    order: QueueOrder = QueueOrder.ADAPTIVE,
    limit: QueueLimit = QueueLimit.BY_LOAD,
) {
    private sealed interface Event {
        data object Arrival : Event

        data class Retry(val caller: Attempt) : Event

        data class Completion(val id: Long, val duration: Long) : Event

        data object Tick : Event
    }

    private data class Attempt(val firstAt: Long, val arrivedAt: Long, val isRetry: Boolean)

    private val random = Random(seed)
    private val pool = Pool(order, limit)
    private val events = PriorityQueue<Pair<Long, Event>>(compareBy { it.first })
    private val tries = HashMap<Long, Attempt>()
    private var nextId = 0L
    private var callers = 0
    private var refusals = 0
    private var holdTime = 0L
    private var inTime = 0
    private var late = 0
    private var refused = 0

    fun run(): ReplayResult {
        pool.update(pattern.serverMilliseconds.indices.map(::entry), null, 0)
        events += 0L to Event.Arrival
        events += 0L to Event.Tick
        while (events.isNotEmpty()) {
            val (now, event) = events.poll()
            when (event) {
                Event.Arrival -> onArrival(now)
                is Event.Retry -> submit(event.caller, now)
                is Event.Completion -> onCompletion(event, now)
                Event.Tick -> {
                    applyDecisions(pool.tick(now), now)
                    if (now < pattern.length + pattern.deadline) events += now + TICK_MILLISECONDS to Event.Tick
                }
            }
        }
        val value = (inTime + late * pattern.lateValue) / callers
        return ReplayResult(callers, inTime, late, refused, value, holdTime.toDouble() / maxOf(1, refusals))
    }

    private fun submit(caller: Attempt, now: Long) {
        val id = nextId++
        tries[id] = caller
        val deadline = caller.firstAt + pattern.deadline
        applyDecisions(pool.submit(Ticket("caller", id, 1, now + pattern.target, deadline, pattern.mode), now), now)
    }

    private fun onRefused(id: Long, retryAfter: Long, now: Long) {
        val caller = tries.getValue(id)
        refusals++
        holdTime += now - caller.arrivedAt
        if (caller.isRetry) {
            refused++
        } else {
            val retryAt = now + minOf(retryAfter, (caller.firstAt + pattern.deadline - now) / MAXIMUM_PAUSE_DIVISOR)
            events += retryAt to Event.Retry(Attempt(caller.firstAt, retryAt, isRetry = true))
        }
    }

    private fun onArrival(now: Long) {
        callers++
        submit(Attempt(now, now, isRetry = false), now)
        val gap = -ln(1 - random.nextDouble()) * MILLISECONDS / pattern.requestsPerSecond(now)
        if (now + gap < pattern.length) events += now + gap.toLong() to Event.Arrival
    }

    private fun applyDecisions(decisions: List<PoolDecision>, now: Long) = decisions.forEach { decision ->
        when (decision) {
            is PoolDecision.Permit -> {
                val mean = pattern.serverMilliseconds[decision.server.text.removePrefix("s").toInt()]
                val factor = exp(
                    pattern.spread * random.asJavaRandom().nextGaussian() - pattern.spread * pattern.spread / 2
                )
                val duration = maxOf(1L, (mean * factor).toLong())
                events += now + duration to Event.Completion(decision.ticket.id, duration)
            }
            is PoolDecision.Refuse -> onRefused(decision.ticket.id, decision.retryAfterMilliseconds, now)
        }
    }

    private fun onCompletion(event: Event.Completion, now: Long) {
        val waited = now - tries.getValue(event.id).firstAt
        if (waited <= pattern.target) inTime++ else if (waited <= pattern.deadline) late++
        applyDecisions(pool.complete("caller", event.id, CallResult(CallOutcome.ANSWERED, event.duration), now), now)
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
        const val TICK_MILLISECONDS = 20L

        /** Callers wait at most a third of their remaining time before they retry. */
        const val MAXIMUM_PAUSE_DIVISOR = 3
    }
}
