/*
 * Lost instances are avoided until they respond. A domain whose instances become silent together is cut off until one
 * responds.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

class InstanceReachabilityTest : FunSpec({
    val domain = FailureDomainName("d")
    val first = InstanceName("a")

    // Guards against candidates that ended for good being tried again and again before a live one.
    test("a lost instance is avoided until it responds") {
        val reachability = InstanceReachability()
        reachability.recordLoss(first, domain, silent = false, 1_000) shouldBe true
        reachability.recordLoss(first, domain, silent = false, 1_100) shouldBe false
        reachability.isAvoided(first) shouldBe true
        reachability.lostSince(first) shouldBe 1_000
        reachability.isAvoided(InstanceName("b")) shouldBe false
        reachability.recordContact(InstanceName("b"), domain, 60_000) shouldBe false
        reachability.isAvoided(first) shouldBe true
        reachability.recordContact(first, domain, 60_000) shouldBe true
        reachability.isAvoided(first) shouldBe false
        reachability.lostSince(first) shouldBe null
    }

    test("losses of instances that are no members are forgotten") {
        val reachability = InstanceReachability()
        reachability.recordLoss(first, domain, silent = false, 1_000)
        reachability.retainAll(setOf(InstanceName("b")))
        reachability.lost shouldBe emptySet()
    }

    data class Loss(val instance: String, val silent: Boolean, val at: Long)

    data class CutCase(
        val what: String,
        val losses: List<Loss>,
        val contactAt: Long?,
        val cutOff: Boolean,
        val contact: String = "c",
    )

    val silence = listOf(Loss("a", true, 1_000), Loss("b", true, 1_300))
    listOf(
        CutCase("nothing was lost", emptyList(), null, false),
        CutCase("one instance is silent", silence.take(1), null, false),
        CutCase("two are silent", silence, null, true),
        CutCase("two are silent and one responded before", silence, 990, true),
        CutCase("two are silent and another responds", silence, 1_200, false),
        CutCase("two were silent and another responds later", silence, 2_600, false),
        CutCase("two were silent and one of them responds later", silence, 2_600, false, contact = "a"),
        CutCase("two closed their connections", silence.map { it.copy(silent = false) }, null, false),
        CutCase("one was silent twice", silence.map { it.copy(instance = "a") }, null, false),
        CutCase("two became silent after contact beside one that ended", silence + Loss("d", true, 10), 500, true),
    ).forEach { case ->
        test("${case.what}: ${if (case.cutOff) "" else "not "}cut off") {
            val reachability = InstanceReachability()
            case.losses.forEach { reachability.recordLoss(InstanceName(it.instance), domain, it.silent, it.at) }
            case.contactAt?.let { reachability.recordContact(InstanceName(case.contact), domain, it) }
            reachability.isCutOff(domain) shouldBe case.cutOff
            reachability.cutOffDomains shouldBe if (case.cutOff) setOf(domain) else emptySet()
        }
    }
})
