/*
 * Lost instances are avoided. A domain whose instances become silent together is cut off until one responds.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

class InstanceReachabilityTest : FunSpec({
    val domain = FailureDomainName("d")

    test("a lost instance is avoided for 1.5 seconds") {
        val reachability = InstanceReachability()
        reachability.recordLoss(InstanceName("a"), domain, silent = false, 1_000) shouldBe true
        reachability.recordLoss(InstanceName("a"), domain, silent = false, 1_100) shouldBe false
        reachability.isAvoided(InstanceName("a"), 2_599) shouldBe true
        reachability.isAvoided(InstanceName("a"), 2_600) shouldBe false
        reachability.isAvoided(InstanceName("b"), 1_100) shouldBe false
    }

    data class Loss(val instance: String, val silent: Boolean, val at: Long)

    data class CutCase(
        val what: String,
        val losses: List<Loss>,
        val contactAt: Long?,
        val at: Long,
        val cutOff: Boolean,
    )

    val silence = listOf(Loss("a", true, 1_000), Loss("b", true, 1_300))
    listOf(
        CutCase("nothing was lost", emptyList(), null, 2_000, false),
        CutCase("one instance is silent", silence.take(1), null, 1_400, false),
        CutCase("two are silent", silence, null, 1_400, true),
        CutCase("two are silent and one responded before", silence, 990, 1_400, true),
        CutCase("two are silent and another responds", silence, 1_200, 1_400, false),
        CutCase("two were silent a while ago", silence, null, 2_600, false),
        CutCase("two closed their connections", silence.map { it.copy(silent = false) }, null, 1_400, false),
        CutCase("one was silent twice", silence.map { it.copy(instance = "a") }, null, 1_400, false),
    ).forEach { case ->
        test("${case.what}: ${if (case.cutOff) "" else "not "}cut off") {
            val reachability = InstanceReachability()
            case.losses.forEach { reachability.recordLoss(InstanceName(it.instance), domain, it.silent, it.at) }
            case.contactAt?.let { reachability.recordContact(domain, it) }
            reachability.isCutOff(domain, case.at) shouldBe case.cutOff
        }
    }
})
