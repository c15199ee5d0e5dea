/*
 * What a capacity run measures. Each measure builds what it needs at a size and runs the real code.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.control.ControlNode
import rhubarbspool.edge.toMessage
import rhubarbspool.gate.CallEnd
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.ServerGate
import rhubarbspool.model.Now
import rhubarbspool.placement.PlacementPlan
import rhubarbspool.protocol.ExchangeRequest
import rhubarbspool.protocol.PromiseRequest
import rhubarbspool.routing.KeyLocator
import java.lang.management.ManagementFactory

/** One measure: [measure] gives the value in [unit] at a size. */
internal data class CapacityMeasure(
    val name: String,
    val unit: String,
    val sizes: List<Int>,
    val measure: (Int) -> Double,
)

/** All measures. */
internal object CapacityMeasures {
    private const val REPEATS = 2_000
    private const val ROUNDS = 5
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private const val KIBIBYTE = 1_024.0
    private const val SETTLE_TICKS = 200
    private const val TICK_MILLISECONDS = 30L
    private val shardCounts = listOf(1_000, 4_000, 16_000, 64_000)
    private val memberCounts = listOf(25, 100, 410)

    val all: List<CapacityMeasure> = listOf(
        CapacityMeasure("tick by members", "us", memberCounts) { tick(CapacityWorld(members = it, shards = SHARDS)) },
        CapacityMeasure("tick by shards", "us", shardCounts) { tick(CapacityWorld(members = MEMBERS, shards = it)) },
        CapacityMeasure("orders by shards", "us", shardCounts) { orders(CapacityWorld(members = MEMBERS, shards = it)) },
        CapacityMeasure("merge one row by shards", "us", shardCounts) { merge(it) },
        CapacityMeasure("plan by shards", "us", shardCounts) { plan(it) },
        CapacityMeasure("locate key by shards", "us", shardCounts) { locate(it) },
        CapacityMeasure("row table memory by shards", "KiB", shardCounts) { memory(it) },
        CapacityMeasure("gate request", "us", listOf(1)) { gateMicroseconds() },
        CapacityMeasure("gate request allocation", "B", listOf(1)) { gateBytes() },
        CapacityMeasure("shard row message", "B", listOf(1)) { shardRow().serializedSize.toDouble() },
        CapacityMeasure("promise question message", "B", listOf(1)) { promise().serializedSize.toDouble() },
        CapacityMeasure("digest message", "B", listOf(1)) { digest().serializedSize.toDouble() },
    )

    private const val MEMBERS = 410
    private const val SHARDS = 16_000

    private fun microseconds(action: () -> Unit): Double {
        val rounds = List(ROUNDS) {
            val start = System.nanoTime()
            repeat(REPEATS) { action() }
            (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / REPEATS
        }
        return rounds.min()
    }

    /** Mean cost of a tick in a steady state over many ticks, the rarer systems included. */
    private fun tick(world: CapacityWorld): Double {
        val node = world.node()
        repeat(SETTLE_TICKS) { world.advance(node) }
        var time = 0L
        val each = microseconds {
            time += TICK_MILLISECONDS
            world.advance(node)
        }
        return each
    }

    private fun orders(world: CapacityWorld): Double {
        val node = world.node()
        repeat(SETTLE_TICKS) { world.advance(node) }
        return microseconds { node.router.orders(Now(world.time)) }
    }

    private fun merge(shards: Int): Double {
        val world = CapacityWorld(MEMBERS, shards)
        val node: ControlNode = world.node()
        var version = shards * 2L + MEMBERS
        return microseconds { node.onRows(listOf(world.shardRow((version % shards).toInt(), ++version))) }
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
        return microseconds { KeyLocator.locate(rows, configuration, "key-${number++}") }
    }

    private fun memory(shards: Int): Double {
        val before = usedBytes()
        val rows = CapacityWorld(MEMBERS, shards).rows()
        val used = usedBytes() - before
        check(rows.size >= shards)
        return used / KIBIBYTE
    }

    private fun usedBytes(): Long {
        repeat(ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun gateMicroseconds(): Double {
        val gate = openGate()
        var number = 0L
        return microseconds { runOne(gate, ++number) }
    }

    private fun gateBytes(): Double {
        val gate = openGate()
        val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        repeat(REPEATS) { runOne(gate, it.toLong()) }
        val before = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        repeat(REPEATS) { runOne(gate, REPEATS + it.toLong()) }
        return (threads.getThreadAllocatedBytes(Thread.currentThread().id) - before).toDouble() / REPEATS
    }

    private fun openGate() =
        ServerGate(CapacityWorld(1, 1).configuration).also { it.handle(GateEvent.Opened(), 0) }

    private fun runOne(gate: ServerGate, number: Long) {
        val request = CapacityWorld.request(number)
        gate.handle(GateEvent.Offered(request), number)
        gate.handle(GateEvent.CallEnded(number, CallEnd.Answered(STATUS_OK)), number + 1)
    }

    private fun shardRow() = CapacityWorld(1, SHARDS).shardRow(SHARDS - 1, Int.MAX_VALUE.toLong()).toMessage()

    private fun promise(): PromiseRequest = PromiseRequest.newBuilder().setHolder("entry-410").setGeneration(1_000)
        .setSuccessorGeneration(1_000).setSentAt(Int.MAX_VALUE.toLong()).build()

    private fun digest(): ExchangeRequest = CapacityWorld(MEMBERS, SHARDS).rows().digest.values
        .let { ExchangeRequest.newBuilder().addAllBuckets(it).build() }

    private const val STATUS_OK = 200
}
