/*
 * Rows of instances that ended are removed, and no row of a live one.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.InstanceName

class MembershipSweepTest : FunSpec({
    val self = InstanceName("b")
    val ring = listOf("a", "b", "c", "d", "e").map(::InstanceName)

    data class RingCase(val what: String, val lost: String, val examined: String)

    listOf(
        RingCase("the successor responds", lost = "", examined = "c"),
        RingCase("a run of successors is lost", lost = "cd", examined = "cde"),
        RingCase("the run goes on at the start of the ring", lost = "cde", examined = "cdea"),
        RingCase("all others are lost", lost = "acde", examined = "cdea"),
    ).forEach { case ->
        test("examined are the successors up to the first that responds: ${case.what}") {
            val examined = MembershipSweep(self).examined(ring) { it.text in case.lost }
            examined.joinToString("") { it.text } shouldBe case.examined
        }
    }

    test("an instance that is not registered examines none") {
        MembershipSweep(InstanceName("x")).examined(ring) { true } shouldBe emptyList()
    }

    /** The row of instance `c` at a time: its version, whether it is challenged, and since when `c` is lost. */
    data class Moment(val at: Long, val version: Long, val isChallenged: Boolean, val lostSince: Long?)

    data class SweepCase(val what: String, val moments: List<Moment>, val steps: List<String>)

    listOf(
        SweepCase("a reachable instance is left alone", listOf(Moment(60_000, 1, false, null)), listOf("-")),
        SweepCase("a restart is shorter than the suspicion", listOf(Moment(5_900, 1, false, 0)), listOf("-")),
        SweepCase(
            "an ended instance is challenged and its row is then removed",
            listOf(
                Moment(6_000, 1, false, 0),
                Moment(6_100, 2, true, 0),
                Moment(12_000, 2, true, 0),
                Moment(12_100, 2, true, 0),
            ),
            listOf("Challenge 1", "-", "-", "Remove 2"),
        ),
        SweepCase(
            "an instance that answers is not challenged again soon",
            listOf(
                Moment(6_000, 1, false, 0),
                Moment(6_100, 2, true, 0),
                Moment(7_000, 3, false, 0),
                Moment(60_000, 3, false, 0),
                Moment(67_000, 3, false, 0),
            ),
            listOf("Challenge 1", "-", "-", "-", "Challenge 3"),
        ),
        SweepCase(
            "a challenge by another instance counts from when it is seen",
            listOf(Moment(9_000, 2, true, 0), Moment(14_900, 2, true, 0), Moment(15_000, 2, true, 0)),
            listOf("-", "-", "Remove 2"),
        ),
        SweepCase(
            "a challenge to an instance that responds again is not followed by a removal",
            listOf(Moment(9_000, 2, true, 0), Moment(10_000, 2, true, null), Moment(16_000, 2, true, 10_001)),
            listOf("-", "-", "-"),
        ),
    ).forEach { case ->
        test(case.what) {
            val sweep = MembershipSweep(self)
            case.moments.map { moment ->
                val registration = Registration(InstanceName("c"), moment.version, moment.isChallenged)
                val steps = sweep.steps(listOf(registration), { moment.lostSince }, moment.at)
                steps.joinToString { "${it::class.simpleName} ${it.registration.version}" }.ifEmpty { "-" }
            } shouldBe case.steps
        }
    }

    test("an instance that is cut off from all others writes few challenges") {
        val rows = ring.filter { it != self }.plus(InstanceName("f")).map { Registration(it, 1, false) }
        MembershipSweep(self).steps(rows, { 0 }, 10_000).size shouldBe 4
    }
})
