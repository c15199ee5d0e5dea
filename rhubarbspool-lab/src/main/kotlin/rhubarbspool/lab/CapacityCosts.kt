/*
 * Timing and memory measurement, and the costs of a gate and of messages.
 */
package rhubarbspool.lab

import rhubarbspool.edge.toMessage
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.ServerGate
import rhubarbspool.protocol.ExchangeRequest
import rhubarbspool.protocol.PromiseRequest
import java.lang.management.ManagementFactory

/** Measures time and memory. */
internal object Timing {
    /** Repetitions of an action per round. */
    const val REPEATS: Int = 2_000
    private const val ROUNDS = 5
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0

    /** Mean time of [action] in microseconds, in the fastest of several rounds. */
    fun microseconds(action: () -> Unit): Double = List(ROUNDS) {
        val start = System.nanoTime()
        repeat(REPEATS) { action() }
        (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / REPEATS
    }.min()

    /** Heap in use after garbage collection, in bytes. */
    fun usedBytes(): Long {
        repeat(ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}

/** Cost of one request at a gate: submitted, dispatched, answered. */
internal object GateCost {
    private const val STATUS_OK = 200

    fun microseconds(): Double {
        val gate = openGate()
        var number = 0L
        return Timing.microseconds { runOne(gate, ++number) }
    }

    fun allocatedBytes(): Double {
        val gate = openGate()
        val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        val thread = Thread.currentThread().id
        repeat(Timing.REPEATS) { runOne(gate, it.toLong()) }
        val before = threads.getThreadAllocatedBytes(thread)
        repeat(Timing.REPEATS) { runOne(gate, Timing.REPEATS + it.toLong()) }
        return (threads.getThreadAllocatedBytes(thread) - before).toDouble() / Timing.REPEATS
    }

    private fun openGate() =
        ServerGate(CapacityWorld(1, 1).configuration).also { it.handle(GateEvent.Opened(), 0) }

    private fun runOne(gate: ServerGate, number: Long) {
        gate.handle(GateEvent.RequestSubmitted(CapacityWorld.request(number)), number)
        gate.handle(GateEvent.CallEnded(number, CallResult.Answered(STATUS_OK)), number + 1)
    }
}

/** Sizes of messages between controllers, in bytes, without framing. */
internal object MessageSizes {
    private const val MEMBERS = 410
    private const val SHARDS = 16_000
    private const val LARGE_NUMBER = Int.MAX_VALUE.toLong()

    fun shardRow(): Double =
        CapacityWorld(1, SHARDS).shardRow(SHARDS - 1, LARGE_NUMBER).toMessage().serializedSize.toDouble()

    fun promiseQuestion(): Double = PromiseRequest.newBuilder().setHolder("entry-$MEMBERS")
        .setGeneration(LARGE_NUMBER).setSuccessorGeneration(LARGE_NUMBER).setSentAt(LARGE_NUMBER)
        .build().serializedSize.toDouble()

    fun digest(): Double = CapacityWorld(MEMBERS, SHARDS).rows().digest.values
        .let { ExchangeRequest.newBuilder().addAllBuckets(it).build() }.serializedSize.toDouble()
}
