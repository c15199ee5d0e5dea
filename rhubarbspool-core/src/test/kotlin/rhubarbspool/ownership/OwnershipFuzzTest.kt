/*
 * No two running servers hold a range at the same time, and fencing tokens increase from owner to owner, under each
 * kind of fault and under all faults together.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan

class OwnershipFuzzTest : FunSpec({
    val cases = listOf(
        "no faults" to OwnershipFaults(),
        "crashes and restarts at the same address" to OwnershipFaults(crash = 0.002),
        "grants and releases without a response" to OwnershipFaults(unanswered = 0.1, drain = 0.001),
        "grants that take effect late" to OwnershipFaults(delayed = 0.1, drain = 0.002, evacuate = 0.002),
        "unreachable servers" to OwnershipFaults(unreachable = 0.002, drain = 0.001),
        "coordinators that are replaced" to OwnershipFaults(takeover = 0.005, drain = 0.002, unanswered = 0.05),
        "servers that restart under the same name" to
            OwnershipFaults(restartSameName = 0.002, unanswered = 0.05, drain = 0.001),
        "coordinators that pause and resume" to
            OwnershipFaults(pause = 0.002, crash = 0.001, drain = 0.002, delayed = 0.05),
        "servers that leave unannounced during takeovers" to
            OwnershipFaults(
                leaveUnannounced = 0.002,
                takeover = 0.003,
                restartSameName = 0.001,
                delayed = 0.05,
                unanswered = 0.05
            ),
        "hot areas whose ranges are split" to OwnershipFaults(hotArea = 0.02),
        "hot areas while calls are lost and coordinators replaced" to
            OwnershipFaults(hotArea = 0.02, unanswered = 0.05, delayed = 0.05, takeover = 0.003, drain = 0.001),
        "tables that return from a copy while coordinators end" to
            OwnershipFaults(restore = 0.001, drain = 0.002, crash = 0.001, unanswered = 0.05, delayed = 0.05),
        "all" to OwnershipFaults(0.001, 0.05, 0.05, 0.001, 0.001, 0.002, 0.001, 0.001, 0.001, 0.001),
        "all with hot areas" to
            OwnershipFaults(0.001, 0.05, 0.05, 0.001, 0.001, 0.002, 0.001, 0.001, 0.001, 0.001, hotArea = 0.05),
    )

    val initialRanges = OwnershipPlan.rangeCount(1)

    cases.forEach { (name, faults) ->
        test("one holder at a time: $name") {
            val simulations = (1..SEEDS).map { OwnershipSimulation(it, faults).run(LENGTH) }
            simulations.flatMap { it.violations }.shouldBeEmpty()
            simulations.sumOf { it.heldSteps } shouldBeGreaterThan 0
            if (faults.hotArea > 0) simulations.maxOf { it.mostRanges } shouldBeGreaterThan 2 * initialRanges
        }
    }
})

private const val SEEDS = 30
private const val LENGTH = 40_000L
