/*
 * The measures of a capacity run. Each builds its input at a given size and runs the production code.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.control.ControlNode
import rhubarbspool.model.Now
import rhubarbspool.placement.PlacementPlan
import rhubarbspool.routing.KeyLocator

/** One measure: [valueAt] returns the value in [unit] at a given size. */
internal data class CapacityMeasure(
    val name: String,
    val unit: String,
    val sizes: List<Int>,
    val valueAt: (Int) -> Double,
)

internal object CapacityMeasures {
    private const val PLAN_REPEATS = 5
    private const val SMALLEST_SHARD_COUNT = 1_000
    private const val SHARD_COUNT_STEPS = 4
    private const val SMALL_DIVISOR = 16
    private const val MEDIUM_DIVISOR = 4
    private const val MEMBERS = 410
    private const val SHARDS = 16_000
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private const val KIBIBYTE = 1_024.0
    private const val WARM_UP_TICKS = 200
    private val shardCounts = List(SHARD_COUNT_STEPS) { SMALLEST_SHARD_COUNT shl (2 * it) }
    private val memberCounts = listOf(MEMBERS / SMALL_DIVISOR, MEMBERS / MEDIUM_DIVISOR, MEMBERS)

    val all: List<CapacityMeasure> = listOf(
        CapacityMeasure(
            "tick by members",
            "us",
            memberCounts
        ) { tickMicroseconds(CapacityFixture(members = it, shards = SHARDS)) },
        CapacityMeasure(
            "tick by shards",
            "us",
            shardCounts
        ) { tickMicroseconds(CapacityFixture(members = MEMBERS, shards = it)) },
        CapacityMeasure(
            "orders by shards",
            "us",
            shardCounts
        ) { ordersMicroseconds(CapacityFixture(members = MEMBERS, shards = it)) },
        CapacityMeasure("merge one row by shards", "us", shardCounts) { mergeMicroseconds(it) },
        CapacityMeasure("plan by shards", "us", shardCounts) { planMicroseconds(it) },
        CapacityMeasure("locate key by shards", "us", shardCounts) { locateMicroseconds(it) },
        CapacityMeasure("row table memory by shards", "KiB", shardCounts) { rowTableKibibytes(it) },
        CapacityMeasure("gate request", "us", listOf(1)) { GateCost.microseconds() },
        CapacityMeasure("gate request allocation", "B", listOf(1)) { GateCost.allocatedBytes() },
        CapacityMeasure("shard row message", "B", listOf(1)) { MessageSizes.shardRow() },
        CapacityMeasure("promise question message", "B", listOf(1)) { MessageSizes.promiseRequest() },
        CapacityMeasure("digest message", "B", listOf(1)) { MessageSizes.digest() },
    )

    /** Mean cost of a tick in a steady state, over enough ticks to include systems that do not run every tick. */
    private fun tickMicroseconds(fixture: CapacityFixture): Double {
        val node = fixture.createNode()
        repeat(WARM_UP_TICKS) { fixture.runTick(node) }
        return Timing.microseconds { fixture.runTick(node) }
    }

    private fun ordersMicroseconds(fixture: CapacityFixture): Double {
        val node = fixture.createNode()
        repeat(WARM_UP_TICKS) { fixture.runTick(node) }
        return Timing.microseconds { node.router.orders(Now(fixture.nowMilliseconds)) }
    }

    private fun mergeMicroseconds(shards: Int): Double {
        val fixture = CapacityFixture(MEMBERS, shards)
        val node: ControlNode = fixture.createNode()
        var version = shards * 2L + MEMBERS
        return Timing.microseconds { node.onRows(listOf(fixture.shardRow((version % shards).toInt(), ++version))) }
    }

    private fun planMicroseconds(shards: Int): Double {
        val fixture = CapacityFixture(MEMBERS, shards)
        val rows = fixture.rows().shardsOf(fixture.service)
        val eligible = fixture.configuration.servers.map { it.name }.toSet()
        val start = System.nanoTime()
        repeat(PLAN_REPEATS) { PlacementPlan.moves(rows, eligible) }
        return (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / PLAN_REPEATS
    }

    private fun locateMicroseconds(shards: Int): Double {
        val fixture = CapacityFixture(MEMBERS, shards)
        val rows = fixture.rows()
        val configuration: ServiceConfiguration = fixture.configuration
        var number = 0
        return Timing.microseconds { KeyLocator.locate(rows, configuration, "key-${number++}") }
    }

    private fun rowTableKibibytes(shards: Int): Double {
        val before = Timing.usedBytes()
        val rows = CapacityFixture(MEMBERS, shards).rows()
        val used = Timing.usedBytes() - before
        check(rows.size >= shards)
        return used / KIBIBYTE
    }
}
