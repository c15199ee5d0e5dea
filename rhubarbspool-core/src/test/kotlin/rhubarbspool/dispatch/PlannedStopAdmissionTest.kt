/*
 * A stopping instance takes every request while it is in rotation, and later only those that end before it does.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class PlannedStopAdmissionTest : FunSpec({
    data class StopCase(
        val what: String,
        val endsAt: Long,
        val now: Long,
        val deadlineAt: Long,
        val admitted: Boolean,
    )

    listOf(
        StopCase("in rotation, short deadline", 5_400, now = 2_299, deadlineAt = 3_000, admitted = true),
        StopCase("in rotation, ends too late", 5_400, now = 2_299, deadlineAt = 6_000, admitted = true),
        StopCase("out of rotation, ends in time", 5_400, now = 2_600, deadlineAt = 5_100, admitted = true),
        StopCase("out of rotation, ends too late", 5_400, now = 2_601, deadlineAt = 5_101, admitted = false),
        StopCase("no time for the rotation", 1_000, now = 1_000, deadlineAt = 1_200, admitted = false),
    ).forEach { case ->
        test("${case.what}: ${if (case.admitted) "" else "not "}taken") {
            PlannedStop(beganAt = 0, endsAt = case.endsAt).admits(case.deadlineAt, case.now) shouldBe case.admitted
        }
    }
})
