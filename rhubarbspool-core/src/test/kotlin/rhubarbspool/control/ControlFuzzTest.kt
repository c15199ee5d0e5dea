/*
 * Stateful fuzzing of the controller. Each seed generates faults that may overlap, and the oracle checks the invariants
 * during the simulation. A failing seed is printed with a minimal list of faults that still fails. To run more seeds:
 * -Drhubarbspool.seeds=2000 -Drhubarbspool.firstSeed=1000
 */
package rhubarbspool.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull

class ControlFuzzTest : FunSpec({
    test("each server has at most one sender and each key at most one owner under random faults") {
        val first = System.getProperty("rhubarbspool.firstSeed", "1").toLong()
        val count = System.getProperty("rhubarbspool.seeds", "120").toLong()
        val failure = (first until first + count).asSequence().mapNotNull(::describeFailure).firstOrNull()
        failure?.let(::println)
        failure.shouldBeNull()
    }

    test("every key is served without faults") {
        val simulation = ControlSimulation(1, emptyList())
        simulation.run()
        simulation.oracle.sends shouldBeGreaterThan 1_000
    }

    test("a restarted controller hands over no gate that its paused router may still use") {
        val violations = (1L..60L).mapNotNull { seed ->
            val target = (seed % 8).toInt()
            val pause = Fault(RESTART_AT, FaultKind.PAUSE_ROUTER, target, 0, 300 + seed * 4)
            val restart = Fault(RESTART_AT + 5, FaultKind.RESTART_CONTROLLER, target, 0, 0)
            violationOf(ControlSimulation(seed, listOf(pause, restart)))
        }
        violations.shouldBeEmpty()
    }

    test("a drained failure domain receives no new requests after three seconds") {
        val drained = TestServices.servers.filter { it.domain.text == "domain-0" }.map { it.name }
        val violations = (1L..20L).mapNotNull { seed ->
            val simulation = ControlSimulation(seed, listOf(Fault(DRAIN_AT, FaultKind.DRAIN_DOMAIN, 0, 0, 30_000)))
            simulation.network.schedule(DRAIN_AT) { simulation.oracle.onDrained(drained, DRAIN_AT) }
            violationOf(simulation)
        }
        violations.shouldBeEmpty()
    }
})

private const val DRAIN_AT = 8_000L
private const val RESTART_AT = 8_000L

private fun describeFailure(seed: Long): String? {
    val faults = Faults.draw(seed)
    val violation = violationOf(ControlSimulation(seed, faults)) ?: return null
    val minimal = shrink(seed, faults)
    val trace = minimal.joinToString("\n") { "  $it" }
    return "seed $seed: $violation\n$trace\n  -> ${violationOf(ControlSimulation(seed, minimal))}"
}

private fun violationOf(simulation: ControlSimulation): String? = runCatching { simulation.run() }.exceptionOrNull()
    ?.let { if (it is InvariantViolation) it.message else throw it }

private fun shrink(seed: Long, faults: List<Fault>): List<Fault> {
    var current = faults
    var index = 0
    while (index < current.size) {
        val reduced = current.filterIndexed { position, _ -> position != index }
        if (violationOf(ControlSimulation(seed, reduced)) != null) current = reduced else index++
    }
    return current
}
