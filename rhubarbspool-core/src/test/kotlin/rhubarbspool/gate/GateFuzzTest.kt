/*
 * Stateful fuzzing of one gate with gate moves, crashes, table outages and callers that repeat requests. More seeds:
 * -Drhubarbspool.seeds=20000 -Drhubarbspool.firstSeed=1000
 */
package rhubarbspool.gate

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull

class GateFuzzTest : FunSpec({
    test("once-only requests run at most once, not-run is true, and each request gets one answer by its deadline") {
        val first = System.getProperty("rhubarbspool.firstSeed", "1").toLong()
        val count = System.getProperty("rhubarbspool.seeds", "400").toLong()
        val failure = (first until first + count).asSequence().mapNotNull(::failureOf).firstOrNull()
        failure?.let(::println)
        failure.shouldBeNull()
    }
})

private fun failureOf(seed: Long): String? = runCatching { GateSimulation(seed).run() }.exceptionOrNull()?.let {
    if (it is InvariantViolation) "seed $seed: ${it.message}" else throw IllegalStateException("seed $seed", it)
}
