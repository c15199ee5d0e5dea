/*
 * Replays of steady load against a server that names a limit: what it gets in any four seconds, and what happens to the
 * requests that it does not take.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

class ServerLimitReplayTest : FunSpec({
    val server = ServerName("s")
    val entry = BackendEntry(
        server,
        1,
        ServiceName("service"),
        Address("10.0.0.1", 1),
        FailureDomainName("domain"),
        6,
        ServerState.READY,
        0,
    )

    fun pool(standIn: Boolean = false) = Pool().apply {
        isStandIn = standIn
        update(listOf(entry), null, 0)
    }

    data class LimitLoad(
        val name: String,
        val limit: Double,
        val perSecond: Int,
        val pools: () -> List<Pool> = { listOf(pool()) },
        val poolAt: (round: Int, now: Long) -> Int = { _, _ -> 0 },
    )

    class Outcome(val sentAt: List<Long>, val heldTimes: List<Long>)

    /** Sends requests to [load]'s pools; the server answers after 100 ms, and names its limit from the start. */
    fun replay(load: LimitLoad): Outcome {
        val pools = load.pools()
        val sentAt = ArrayList<Long>()
        val heldTimes = ArrayList<Long>()
        val submittedAt = HashMap<Long, Long>()
        val completions = ArrayList<Triple<Long, Int, Long>>()
        fun apply(index: Int, decisions: List<PoolDecision>, now: Long) = decisions.forEach { decision ->
            when (decision) {
                is PoolDecision.Permit -> {
                    sentAt += now
                    completions += Triple(now + SERVICE_MILLISECONDS, index, decision.ticket.id)
                }
                is PoolDecision.Refuse -> heldTimes += now - submittedAt.getValue(decision.ticket.id)
            }
        }
        var id = 0L
        for (now in 0L until LENGTH) {
            completions.filter { it.first == now }.forEach { (_, index, done) ->
                val result = CallResult(CallOutcome.ANSWERED, SERVICE_MILLISECONDS, limit = load.limit)
                apply(index, pools[index].complete("caller", done, result, now), now)
            }
            if (now % (MILLISECONDS_PER_SECOND / load.perSecond) == 0L) {
                val index = load.poolAt((++id).toInt(), now)
                submittedAt[id] = now
                pools[index].recordLimit(server, load.limit, now, now)
                val ticket = Ticket("caller", id, 1, now + 400, now + 800, WaitMode.UNTIL_DEADLINE)
                apply(index, pools[index].submit(ticket, now), now)
            }
            if (now % TICK == 0L) pools.forEachIndexed { index, pool -> apply(index, pool.tick(now), now) }
        }
        return Outcome(sentAt, heldTimes)
    }

    val alternating = { round: Int, _: Long -> round % 2 }
    val withStandIn = { listOf(pool(), pool(standIn = true)) }
    val loads = listOf(0.0, 0.4, 1.0, 2.7, 20.0).map { LimitLoad("one dispatcher, limit $it", it, 40) } + listOf(
        LimitLoad("a dispatcher and a stand-in at once", 4.0, 40, withStandIn, alternating),
        LimitLoad("the same with a high limit", 50.0, 100, withStandIn, alternating),
        LimitLoad("the dispatcher changes every two seconds", 4.0, 40, { List(10) { pool() } }) { _, now ->
            (now / 2_000).toInt()
        },
    )

    loads.forEach { load ->
        test("a server gets no more than the bound in four seconds, and about its limit: ${load.name}") {
            val sent = replay(load).sentAt
            val most = sent.indices.maxOf { first -> sent.drop(first).count { it - sent[first] < WINDOW } }
            most.toDouble() shouldBeLessThanOrEqual load.limit * WINDOW / MILLISECONDS_PER_SECOND * SURPLUS + SLACK
            sent.size.toDouble() shouldBeGreaterThanOrEqual
                load.limit * LENGTH / MILLISECONDS_PER_SECOND * EXPECTED_SHARE - 1
        }

        test("what the limit does not let through is refused at once: ${load.name}") {
            val held = replay(load).heldTimes.sorted()
            if (held.isNotEmpty()) held[held.size * 9 / 10].toDouble() shouldBeLessThanOrEqual AT_ONCE
        }
    }

    test("a request goes to another server while the limit of the first is used up") {
        val pool = Pool().apply { update(listOf(entry, entry.copy(server = ServerName("t"))), null, 0) }
        pool.recordLimit(server, 1.0, 0, 0)
        val decisions = (1L..3L).map { pool.submit(Ticket("caller", it, 1, 400, 800, WaitMode.FREE_SLOT), 0).single() }
        decisions.map { it.shouldBeInstanceOf<PoolDecision.Permit>().server.text }.toSet() shouldBe setOf("t")
    }

    test("a limit ends with the response to a request that followed it, not with one that was on its way") {
        val pool = pool()
        fun submit(id: Long, now: Long) =
            pool.submit(Ticket("caller", id, 1, now + 400, now + 800, WaitMode.FREE_SLOT), now).single()
        (1L..3L).forEach { submit(it, 0).shouldBeInstanceOf<PoolDecision.Permit>() }
        pool.complete("caller", 1, CallResult(CallOutcome.ANSWERED, 100, limit = 1.0), 100)
        pool.complete("caller", 2, CallResult(CallOutcome.ANSWERED, 100), 110)
        submit(4, 120).shouldBeInstanceOf<PoolDecision.Refuse>()
        submit(5, 1_200).shouldBeInstanceOf<PoolDecision.Permit>()
        pool.complete("caller", 5, CallResult(CallOutcome.ANSWERED, 100), 1_300)
        (6L..8L).forEach { submit(it, 1_300).shouldBeInstanceOf<PoolDecision.Permit>() }
    }
})

private const val MILLISECONDS_PER_SECOND = 1_000L
private const val LENGTH = 20_000L
private const val TICK = 20L
private const val SERVICE_MILLISECONDS = 100L

/** The platform's bound: in four seconds, one and a half times what the limit allows, and five requests. */
private const val WINDOW = 4_000L
private const val SURPLUS = 1.5
private const val SLACK = 5
private const val EXPECTED_SHARE = 0.8

/** An eighth of the target latency of 400 ms. */
private const val AT_ONCE = 50.0
