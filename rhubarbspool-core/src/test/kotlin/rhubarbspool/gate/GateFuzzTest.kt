/*
 * Stateful fuzzing of one gate over gate moves, crashes, table outages and callers who repeat themselves. More
 * seeds: -Drhubarbspool.seeds=20000 -Drhubarbspool.firstSeed=1000
 */
package rhubarbspool.gate

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull

class GateFuzzTest : FunSpec({
    test("a once-only request runs at most once, not-run is true, and everyone gets one answer in time") {
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
