/*
 * Duties in large fleets: however many instances a failure domain has, few of them dispatch, those with the larger
 * processors, and the loss of one leaves the pools of the others where they are.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

class DutyRankingTest : FunSpec({
    data class FleetCase(val description: String, val large: Int, val small: Int, val dispatchers: Int)

    val domains = listOf("a", "b", "c")
    val pools = domains.flatMap { domain -> (1..60).map { PoolName("service", domain, "server-$it") } }

    fun SharedRows.put(name: String, domain: String, percent: Int, version: Long) {
        val member = Member(InstanceName(name), FailureDomainName(domain), Address("10.0.0.1", 1), percent)
        merge(FeedItem.Shared(Member.keyOf(member.instance), version, member.encode()))
    }

    fun rows(large: Int, small: Int) = SharedRows(DecisionLog { 0L }).also { shared ->
        domains.forEach { domain ->
            repeat(large) { shared.put("large-$domain-$it", domain, percent = 75, version = 1) }
            repeat(small) { shared.put("small-$domain-$it", domain, percent = 30, version = 1) }
        }
    }

    withData<FleetCase>(
        { it.description },
        FleetCase("three small instances", large = 0, small = 3, dispatchers = 3),
        FleetCase("eight equal instances", large = 0, small = 8, dispatchers = 4),
        FleetCase("three large ones among sixteen", large = 3, small = 16, dispatchers = 4),
        FleetCase("ten large ones among a hundred", large = 10, small = 90, dispatchers = 4),
    ) { case ->
        val ranking = DutyRanking(rows(case.large, case.small))
        domains.forEach { domain ->
            val chosen = pools.filter { it.domain == domain }.map { ranking.dispatchersOf(it).first() }.toSet()
            chosen.size shouldBe case.dispatchers
            chosen.all { it.domain.text == domain } shouldBe true
            chosen.count { it.processorPercent == 75 } shouldBe minOf(case.large, case.dispatchers)
        }
        ranking.order("coordinator").first().processorPercent shouldBe if (case.large > 0) 75 else 30
    }

    test("when a dispatcher leaves, only its own pools and those of its replacement get another one") {
        val shared = rows(large = 3, small = 16)
        val ranking = DutyRanking(shared)
        val before = pools.associateWith { ranking.dispatchersOf(it).first().instance }
        val lost = before.getValue(pools.first())
        shared.merge(FeedItem.Shared(Member.keyOf(lost), 2, null))
        val after = pools.associateWith { ranking.dispatchersOf(it).first().instance }
        val replacements = after.values.toSet() - before.values.toSet()
        replacements.size shouldBeLessThanOrEqual 1
        pools.filter { before[it] != lost && after[it] !in replacements }.forEach { after[it] shouldBe before[it] }
    }
})
