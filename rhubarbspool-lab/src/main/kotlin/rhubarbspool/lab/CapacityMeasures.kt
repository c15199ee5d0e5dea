/*
 * The measures of a capacity run. Each builds its input at a given size and runs the production code.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.control.ControlNode
import rhubarbspool.model.Now
import rhubarbspool.placement.PlacementPlan
import rhubarbspool.routing.KeyLocator

/** One measure: [measure] returns the value in [unit] at a given size. */
internal data class CapacityMeasure(
    val name: String,
    val unit: String,
    val sizes: List<Int>,
    val measure: (Int) -> Double,
)

/** All measures. */
internal object CapacityMeasures {
    private const val ROUNDS = 5
    private const val FIRST_SHARDS = 1_000
    private const val SHARD_STEPS = 4
    private const val SMALL_PART = 16
    private const val MIDDLE_PART = 4
    private const val MEMBERS = 410
    private const val SHARDS = 16_000
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private const val KIBIBYTE = 1_024.0
    private const val SETTLE_TICKS = 200
    private val shardCounts = List(SHARD_STEPS) { FIRST_SHARDS shl (2 * it) }
    private val memberCounts = listOf(MEMBERS / SMALL_PART, MEMBERS / MIDDLE_PART, MEMBERS)

    val all: List<CapacityMeasure> = listOf(
        CapacityMeasure("tick by members", "us", memberCounts) { tick(CapacityWorld(members = it, shards = SHARDS)) },
        CapacityMeasure("tick by shards", "us", shardCounts) { tick(CapacityWorld(members = MEMBERS, shards = it)) },
        CapacityMeasure(
            "orders by shards",
            "us",
            shardCounts
        ) { orders(CapacityWorld(members = MEMBERS, shards = it)) },
        CapacityMeasure("merge one row by shards", "us", shardCounts) { merge(it) },
        CapacityMeasure("plan by shards", "us", shardCounts) { plan(it) },
        CapacityMeasure("locate key by shards", "us", shardCounts) { locate(it) },
        CapacityMeasure("row table memory by shards", "KiB", shardCounts) { memory(it) },
        CapacityMeasure("gate request", "us", listOf(1)) { GateCost.microseconds() },
        CapacityMeasure("gate request allocation", "B", listOf(1)) { GateCost.allocatedBytes() },
        CapacityMeasure("shard row message", "B", listOf(1)) { MessageSizes.shardRow() },
        CapacityMeasure("promise question message", "B", listOf(1)) { MessageSizes.promiseQuestion() },
        CapacityMeasure("digest message", "B", listOf(1)) { MessageSizes.digest() },
    )

    /** Mean cost of a tick in a steady state, over enough ticks to include the systems that run rarely. */
    private fun tick(world: CapacityWorld): Double {
        val node = world.node()
        repeat(SETTLE_TICKS) { world.advance(node) }
        return Timing.microseconds { world.advance(node) }
    }

    private fun orders(world: CapacityWorld): Double {
        val node = world.node()
        repeat(SETTLE_TICKS) { world.advance(node) }
        return Timing.microseconds { node.router.orders(Now(world.time)) }
    }

    private fun merge(shards: Int): Double {
        val world = CapacityWorld(MEMBERS, shards)
        val node: ControlNode = world.node()
        var version = shards * 2L + MEMBERS
        return Timing.microseconds { node.onRows(listOf(world.shardRow((version % shards).toInt(), ++version))) }
    }

    private fun plan(shards: Int): Double {
        val world = CapacityWorld(MEMBERS, shards)
        val rows = world.rows().shardsOf(world.service)
        val eligible = world.configuration.servers.map { it.name }.toSet()
        val start = System.nanoTime()
        repeat(ROUNDS) { PlacementPlan.moves(rows, eligible) }
        return (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / ROUNDS
    }

    private fun locate(shards: Int): Double {
        val world = CapacityWorld(MEMBERS, shards)
        val rows = world.rows()
        val configuration: ServiceConfiguration = world.configuration
        var number = 0
        return Timing.microseconds { KeyLocator.locate(rows, configuration, "key-${number++}") }
    }

    private fun memory(shards: Int): Double {
        val before = Timing.usedBytes()
        val rows = CapacityWorld(MEMBERS, shards).rows()
        val used = Timing.usedBytes() - before
        check(rows.size >= shards)
        return used / KIBIBYTE
    }
}
