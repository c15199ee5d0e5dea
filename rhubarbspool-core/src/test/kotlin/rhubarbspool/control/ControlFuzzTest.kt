/*
 * Stateful fuzzing of the control side. Each seed draws faults, two and more at once, and runs them against the
 * oracle of ControlWorld. A failing seed is printed with the fewest faults that still fail. More seeds:
 * -Drhubarbspool.seeds=2000 -Drhubarbspool.firstSeed=1000
 */
package rhubarbspool.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class ControlFuzzTest : FunSpec({
    test("at most one sender per server and one owner per key, whatever goes wrong") {
        val first = System.getProperty("rhubarbspool.firstSeed", "1").toLong()
        val count = System.getProperty("rhubarbspool.seeds", "120").toLong()
        val failures = (first until first + count).asSequence().mapNotNull { seed -> failureOf(seed) }.take(1).toList()
        failures.forEach { println(it) }
        failures.size shouldBe 0
    }

    test("without faults every key is served and nothing is written in a steady state") {
        val world = ControlWorld(1, emptyList())
        world.run()
        world.sends shouldBeGreaterThan 1_000
    }

    test("a drained failure domain gets no new work after three seconds") {
        (1L..20L).forEach { seed ->
            val start = 8_000L
            val drained = ControlWorld.SERVICES.flatMap { it.servers }.filter { it.domain.text == "domain-0" }.map { it.name.text }
            val world = ControlWorld(seed, listOf(Fault(start, FaultKind.DRAIN_DOMAIN, 0, 0, 30_000)))
            world.judgeDrain(drained, start)
            val violation = violationOf(world)
            violation?.takeIf { "drained" in it } shouldBe null
        }
    }
})

private fun failureOf(seed: Long): String? {
    val faults = drawFaults(seed)
    val violation = violationOf(ControlWorld(seed, faults)) ?: return null
    val fewest = shrink(seed, faults)
    return "seed $seed: $violation\n" + fewest.joinToString("\n") { "  $it" } +
        "\n  -> ${violationOf(ControlWorld(seed, fewest))}"
}

private fun violationOf(world: ControlWorld): String? = try {
    world.run()
    null
} catch (violation: Violation) {
    violation.message
}

private fun drawFaults(seed: Long): List<Fault> {
    val random = Random(seed)
    return List(random.nextInt(3, 14)) {
        Fault(
            random.nextLong(2_000, ControlWorld.FAULTY_MILLISECONDS - 1_000),
            FaultKind.entries.random(random),
            random.nextInt(12),
            random.nextInt(12),
            random.nextLong(50, if (random.nextBoolean()) 1_500 else 9_000),
        )
    }.sortedBy { it.at }
}

private fun shrink(seed: Long, faults: List<Fault>): List<Fault> {
    var current = faults
    var index = 0
    while (index < current.size) {
        val smaller = current.filterIndexed { position, _ -> position != index }
        if (violationOf(ControlWorld(seed, smaller)) != null) current = smaller else index++
    }
    return current
}
