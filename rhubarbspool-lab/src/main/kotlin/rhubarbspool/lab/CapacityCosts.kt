/*
 * Time and memory measurement, the cost of a request at a gate, and the sizes of messages.
 */
package rhubarbspool.lab

import rhubarbspool.edge.toMessage
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.ServerGate
import rhubarbspool.protocol.ExchangeRequest
import rhubarbspool.protocol.PromiseRequest
import java.lang.management.ManagementFactory

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

    /** Heap in use in bytes, after several garbage collections. */
    fun usedBytes(): Long {
        repeat(ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}

/** Cost of one request at a gate: submit, dispatch and completion. */
internal object GateCost {
    private const val STATUS_OK = 200

    fun microseconds(): Double {
        val gate = createGate()
        var number = 0L
        return Timing.microseconds { runRequest(gate, ++number) }
    }

    fun allocatedBytes(): Double {
        val gate = createGate()
        val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        val thread = Thread.currentThread().id
        repeat(Timing.REPEATS) { runRequest(gate, it.toLong()) }
        val before = threads.getThreadAllocatedBytes(thread)
        repeat(Timing.REPEATS) { runRequest(gate, Timing.REPEATS + it.toLong()) }
        return (threads.getThreadAllocatedBytes(thread) - before).toDouble() / Timing.REPEATS
    }

    private fun createGate() =
        ServerGate(CapacityFixture(1, 1).configuration).also { it.handle(GateEvent.Opened(), 0) }

    private fun runRequest(gate: ServerGate, number: Long) {
        gate.handle(GateEvent.RequestSubmitted(CapacityFixture.request(number)), number)
        gate.handle(GateEvent.CallEnded(number, CallResult.Answered(STATUS_OK)), number + 1)
    }
}

/** Sizes of messages between controllers, in bytes, without framing. */
internal object MessageSizes {
    private const val MEMBERS = 410
    private const val SHARDS = 16_000
    private const val LARGE_VALUE = Int.MAX_VALUE.toLong()

    fun shardRow(): Double =
        CapacityFixture(1, SHARDS).shardRow(SHARDS - 1, LARGE_VALUE).toMessage().serializedSize.toDouble()

    fun promiseRequest(): Double = PromiseRequest.newBuilder().setHolder("entry-$MEMBERS")
        .setGeneration(LARGE_VALUE).setSuccessorGeneration(LARGE_VALUE).setSentAt(LARGE_VALUE)
        .build().serializedSize.toDouble()

    fun digest(): Double = CapacityFixture(MEMBERS, SHARDS).rows().digest.values
        .let { ExchangeRequest.newBuilder().addAllBuckets(it).build() }.serializedSize.toDouble()
}
