/*
 * Single decisions of a gate, each a regression test of a fault that occurred.
 */
package rhubarbspool.gate

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import rhubarbspool.configuration.Priority
import rhubarbspool.configuration.RunKind
import rhubarbspool.errors.ErrorKind

private fun request(
    id: Long,
    now: Long,
    key: String = "key",
    caller: String = "caller",
    coalesceKey: String? = null,
) = GateRequest(
    id,
    key,
    "shard",
    caller,
    RunKind.REPEATABLE,
    Priority.NORMAL,
    fingerprint = "$key-$caller",
    deadlineAt = now + 500,
    coalesceKey = coalesceKey,
)

private fun openGate() = ServerGate(GateSimulation.configuration).also { it.handle(GateEvent.Opened(), 0) }

class ServerGateTest : FunSpec({
    test("a request is sent to a server that was slow before if a slot is free") {
        val gate = openGate()
        gate.handle(GateEvent.RequestSubmitted(request(1, 0)), 0)
        gate.handle(GateEvent.CallEnded(1, CallResult.Answered(200)), 5_000)
        val effects = gate.handle(GateEvent.RequestSubmitted(request(2, 6_000)), 6_000)
        effects.single().shouldBeInstanceOf<GateEffect.Dispatch>()
    }

    test("equal concurrent reads share a call, and a busy caller does not starve others") {
        val gate = openGate()
        gate.handle(GateEvent.RequestSubmitted(request(1, 0, coalesceKey = "same")), 0)
        gate.handle(GateEvent.RequestSubmitted(request(2, 0, coalesceKey = "same")), 0) shouldBe
            listOf(GateEffect.Attach(2, 1))
        (3L..9L).forEach {
            gate.handle(GateEvent.RequestSubmitted(request(it, 0, key = "key-$it", caller = "busy")), 0)
        }
        gate.handle(GateEvent.RequestSubmitted(request(10, 0, key = "other", caller = "quiet")), 0)
        val order = (1..3).map {
            val running = if (it == 1) 1L else null
            val ended = running ?: last
            val dispatched = gate.handle(GateEvent.CallEnded(ended, CallResult.Answered(200)), 10L * it)
                .filterIsInstance<GateEffect.Dispatch>().single().request
            last = dispatched.id
            dispatched.caller
        }
        order.contains("quiet") shouldBe true
    }

    test("a request that crashed two servers is not run on a third") {
        val suspects = CrashSuspects()
        (1L..2L).forEach { run ->
            val gate = ServerGate(GateSimulation.configuration, suspects).also { it.handle(GateEvent.Opened(), 0) }
            gate.handle(GateEvent.RequestSubmitted(request(run, 0)), 0) shouldHaveSize 1
            gate.handle(GateEvent.ServerCrashed, 10)
            gate.handle(GateEvent.CallEnded(run, CallResult.Broken(answerBegan = true)), 11)
        }
        val third = ServerGate(GateSimulation.configuration, suspects).also { it.handle(GateEvent.Opened(), 0) }
        val refusal = third.handle(GateEvent.RequestSubmitted(request(3, 20)), 20).single()
        refusal.shouldBeInstanceOf<GateEffect.Refuse>().error.kind shouldBe ErrorKind.QUARANTINED
    }
})

private var last = 0L
