/*
 * Individual decisions of a pool.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

class PoolTest : FunSpec({
    fun entry(name: String, coldUntil: Long = 0) = BackendEntry(
        ServerName(name),
        1,
        ServiceName("service"),
        Address("10.0.0.1", 1),
        FailureDomainName("domain"),
        2,
        ServerState.READY,
        coldUntil,
    )

    fun ticket(id: Long, mode: WaitMode = WaitMode.UNTIL_DEADLINE, now: Long = 0) =
        Ticket("caller", id, 1, now + 600, now + 1_200, mode)

    fun pool(vararg entries: BackendEntry, coldRate: Double? = null) =
        Pool().apply { update(entries.toList(), coldRate, 0) }

    test("no more requests are in flight than there are slots") {
        val pool = pool(entry("a"))
        val decisions = (1L..3L).flatMap { pool.submit(ticket(it), 0) }
        decisions.filterIsInstance<PoolDecision.Permit>() shouldHaveSize 2
        pool.queued shouldBe 1
    }

    test("a freed slot goes to the waiting request") {
        val pool = pool(entry("a"))
        (1L..3L).forEach { pool.submit(ticket(it), 0) }
        val next = pool.complete("caller", 1, CallResult(CallOutcome.ANSWERED, 100), 100).single()
        next.shouldBeInstanceOf<PoolDecision.Permit>().ticket.id shouldBe 3
    }

    test("a request that wants a free slot is refused at once when there is none") {
        val pool = pool(entry("a"))
        (1L..2L).forEach { pool.submit(ticket(it), 0) }
        pool.submit(ticket(3, WaitMode.FREE_SLOT), 0).single().shouldBeInstanceOf<PoolDecision.Refuse>()
    }

    test("a request without a server is refused at once") {
        val refusal = pool().submit(ticket(1), 0).single().shouldBeInstanceOf<PoolDecision.Refuse>()
        refusal.reason shouldBe PoolRefusal.NO_SERVER
    }

    test("a server that was tried is not chosen again") {
        val pool = pool(entry("a"), entry("b"))
        val permit = pool.submit(ticket(1).copy(avoid = setOf(ServerName("a"))), 0).single()
        permit.shouldBeInstanceOf<PoolDecision.Permit>().server shouldBe ServerName("b")
    }

    test("an unreachable server is avoided") {
        val pool = pool(entry("a"), entry("b"))
        val first = pool.submit(ticket(1), 0).single().shouldBeInstanceOf<PoolDecision.Permit>().server
        pool.complete("caller", 1, CallResult(CallOutcome.UNREACHABLE, 0), 10)
        val second = pool.submit(ticket(2), 10).single().shouldBeInstanceOf<PoolDecision.Permit>().server
        (first == second) shouldBe false
    }

    test("a cold server gets no more requests per second than its limit") {
        val pool = pool(entry("a", coldUntil = 10_000), coldRate = 2.0)
        var permits = 0
        (0L until 5_000L step 100).forEach { now ->
            val permitted = pool.submit(ticket(now + 1, WaitMode.FREE_SLOT, now), now)
                .filterIsInstance<PoolDecision.Permit>()
            permitted.forEach {
                permits++
                pool.complete("caller", it.ticket.id, CallResult(CallOutcome.ANSWERED, 50), now + 50)
            }
        }
        permits shouldBeLessThanOrEqual 12
    }

    test("a request that can no longer be answered before its deadline is refused by the next tick") {
        val pool = pool(entry("a"))
        (1L..3L).forEach { pool.submit(ticket(it), 0) }
        pool.tick(900).shouldBeEmpty()
        pool.tick(1_150).single().shouldBeInstanceOf<PoolDecision.Refuse>().ticket.id shouldBe 3
    }

    test("permits of a lost instance are reclaimed") {
        val pool = pool(entry("a"))
        (1L..2L).forEach { pool.submit(ticket(it), 0) }
        pool.withdraw("caller", null, 10)
        pool.inFlight shouldBe 0
        pool.submit(ticket(5), 20).single().shouldBeInstanceOf<PoolDecision.Permit>()
    }
})
