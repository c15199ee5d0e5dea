/*
 * Each decision about waiting and turning away, against the load pattern it answers.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class PoolReplayTest : FunSpec({
    val hotKey = LoadPattern("one hot key", listOf(200.0), { 21.0 }, 600, 1_200, 0.1)
    val burst =
        LoadPattern("burst", List(7) { 290.0 }, { now -> if (now in 5_000..9_000) 55.0 else 20.0 }, 800, 1_500, 0.1)
    val calm = LoadPattern("calm", List(6) { 250.0 }, { 18.0 }, 800, 1_500, 0.1)

    fun worth(pattern: LoadPattern, order: QueueOrder) = (1..SEEDS).map {
        PoolReplay(pattern, it, order).run().worth
    }.average()

    listOf(hotKey, burst).forEach { pattern ->
        test("${pattern.name}: youngest first while crowded is worth more than the order of due times") {
            val adaptive = worth(pattern, QueueOrder.ADAPTIVE)
            val byDueTime = worth(pattern, QueueOrder.DUE_TIME)
            println("${pattern.name}: adaptive $adaptive, by due time $byDueTime")
            adaptive shouldBeGreaterThan byDueTime
        }
    }

    test("calm: the order makes no difference worth speaking of") {
        (worth(calm, QueueOrder.ADAPTIVE) - worth(calm, QueueOrder.DUE_TIME)).let { it > -TOLERANCE } shouldBe true
    }

    test("every request is answered or refused once") {
        (1..SEEDS).forEach { seed ->
            val result = PoolReplay(hotKey, seed, QueueOrder.ADAPTIVE).run()
            val counted = result.inTime + result.late + result.refused
            (counted <= result.asked) shouldBe true
        }
    }
})

private const val SEEDS = 12
private const val TOLERANCE = 0.01
