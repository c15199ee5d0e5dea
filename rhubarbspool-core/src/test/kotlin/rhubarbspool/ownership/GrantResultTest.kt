/*
 * How long an owner may hold a range after each result of a grant.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

class GrantResultTest : FunSpec({
    val owner = Owner(ServerName("s1"), 1, Address("127.0.0.1", 1))
    val until = 1_000 + HoldTimes.longestHold(HoldTimes.HOLD)

    data class ResultCase(val result: OrderResult, val mayHoldUntil: Long, val unansweredUntil: Long)

    // Guards against a late copy of a refusal that is taken for the result of a grant which was accepted.
    listOf(
        ResultCase(OrderResult.ACCEPTED, until, RangeHold.NEVER),
        ResultCase(OrderResult.UNANSWERED, until, until),
        ResultCase(OrderResult.REFUSED, until, until),
        ResultCase(OrderResult.NOT_SENT, 0, RangeHold.NEVER),
    ).forEach { case ->
        test("after a grant that was ${case.result}") {
            val holds = HoldTable(1, startedAt = 0, isNew = true)
            val grant = OwnershipEffect.Grant(KeyRange(0, 9), owner, 2, HoldTimes.HOLD, null)
            holds.onGrant(0, grant, case.result, sentAt = 990, now = 1_000)
            holds[0].mayHoldUntil shouldBe case.mayHoldUntil
            holds[0].unansweredUntil shouldBe case.unansweredUntil
        }
    }
})
