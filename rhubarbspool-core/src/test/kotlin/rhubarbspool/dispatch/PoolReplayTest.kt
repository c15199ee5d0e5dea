/*
 * Each rule for queueing and refusing requests, tested with the load pattern that it is meant for.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

class PoolReplayTest : FunSpec({
    val hotKey = LoadPattern("one hot key", listOf(200.0), { 21.0 }, 600, 1_200, 0.1)
    val burst =
        LoadPattern("burst", List(7) { 290.0 }, { now -> if (now in 5_000..9_000) 55.0 else 20.0 }, 800, 1_500, 0.1)
    val calm = LoadPattern("calm", List(6) { 250.0 }, { 18.0 }, 800, 1_500, 0.1)

    val overloaded = LoadPattern("more lookups than one server can do", listOf(120.0), { 24.0 }, 400, 1_500, 0.3)
    val nearFull = LoadPattern("lookups near what one server can do", listOf(120.0), { 15.0 }, 400, 1_500, 0.3)
    val atCapacity = LoadPattern("reads at what one server can do", listOf(220.0), { 9.0 }, 600, 2_500, 0.1)

    fun meanValue(pattern: LoadPattern, order: QueueOrder) = (1..SEEDS).map {
        PoolReplay(pattern, it, order).run().value
    }.average()

    fun results(pattern: LoadPattern, limit: QueueLimit) =
        (1..SEEDS).map { PoolReplay(pattern, it, limit = limit).run() }

    listOf(hotKey, overloaded).forEach { pattern ->
        test("${pattern.name}: a short queue yields more value and refuses callers sooner") {
            val byLoad = results(pattern, QueueLimit.BY_LOAD)
            val inTime = results(pattern, QueueLimit.IN_TIME)
            println("${pattern.name}: by load ${byLoad.summary()}, in time ${inTime.summary()}")
            byLoad.map { it.value }.average() shouldBeGreaterThan inTime.map { it.value }.average() + MINIMUM_GAIN
            byLoad.map { it.holdTime }.average() shouldBeLessThan pattern.target / MAXIMUM_HOLD_DIVISOR
        }
    }

    listOf(burst, nearFull, atCapacity, calm).forEach { pattern ->
        test("${pattern.name}: the limit by load yields no less value") {
            val byLoad = results(pattern, QueueLimit.BY_LOAD)
            val inTime = results(pattern, QueueLimit.IN_TIME)
            println("${pattern.name}: by load ${byLoad.summary()}, in time ${inTime.summary()}")
            byLoad.map { it.value }.average() shouldBeGreaterThan inTime.map { it.value }.average() - TOLERANCE
        }
    }

    listOf(hotKey, burst).forEach { pattern ->
        test("${pattern.name}: youngest first while congested yields more value than due time order") {
            val adaptive = meanValue(pattern, QueueOrder.ADAPTIVE)
            val byDueTime = meanValue(pattern, QueueOrder.DUE_TIME)
            println("${pattern.name}: adaptive $adaptive, by due time $byDueTime")
            adaptive shouldBeGreaterThan byDueTime
        }
    }

    test("calm: the order makes no significant difference") {
        (meanValue(calm, QueueOrder.ADAPTIVE) - meanValue(calm, QueueOrder.DUE_TIME))
            .let { it > -TOLERANCE } shouldBe true
    }

    test("every request is answered or refused once") {
        (1..SEEDS).forEach { seed ->
            val result = PoolReplay(hotKey, seed, QueueOrder.ADAPTIVE).run()
            val counted = result.inTime + result.late + result.refused
            (counted <= result.callers) shouldBe true
        }
    }
})

private const val SEEDS = 12
private const val TOLERANCE = 0.01

/** Smaller gains are within random variation for this number of seeds. */
private const val MINIMUM_GAIN = 0.02

/** Refused callers should have waited for at most an eighth of their target. */
private const val MAXIMUM_HOLD_DIVISOR = 8.0

private fun List<ReplayResult>.summary() =
    "worth %.3f held %.0f".format(map { it.value }.average(), map { it.holdTime }.average())
