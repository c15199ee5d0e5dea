/*
 * Runs a scenario under a variant: the production decision code of gates against model servers, in simulated time.
 */
package rhubarbspool.lab

import org.HdrHistogram.Histogram
import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.Limits
import rhubarbspool.configuration.Priority
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.gate.GateEvent
import rhubarbspool.gate.GateRequest
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** One deterministic run with [seed]. */
internal class Simulation(private val scenario: Scenario, private val variant: Variant, private val seed: Long) {
    private class Event(val at: Double, val sequence: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.sequence })
    private val histogram = Histogram(HISTOGRAM_DIGITS)
    private val servers = List(scenario.servers) { ModelServer(this, Random(seed + it), scenario.serviceMilliseconds) }
    private val gates = servers.map { server ->
        List(variant.senders) { ModelGate(this, server, configuration(), variant) }
    }
    private val rate =
        scenario.loadFactor * scenario.servers * ModelServer.SLOTS / scenario.serviceMilliseconds
    private var sequence = 0L
    private var requests = 0L

    /** Simulated time in milliseconds. */
    var now = 0.0
        private set

    /** Schedules [action] after [milliseconds] of simulated time. */
    fun after(milliseconds: Double, action: () -> Unit) {
        events += Event(now + milliseconds, ++sequence, action)
    }

    /** Records the latency of a request that arrived at [arrivedAt] and was answered within its deadline. */
    fun recordAnswer(arrivedAt: Double) = histogram.recordValue(((now - arrivedAt) * MICROSECONDS).toLong())

    /** Runs the scenario for its simulated duration. */
    fun run(): Outcome {
        val end = scenario.seconds * MILLISECONDS_PER_SECOND
        scheduleArrivals()
        tick()
        scheduleFaults()
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            now = event.at
            event.action()
        }
        return outcome()
    }

    private fun outcome(): Outcome {
        val runs = servers.sumOf { it.runs }
        val good = histogram.totalCount
        return Outcome(
            scenario.name,
            variant.name,
            scenario.loadFactor,
            requests,
            goodput = good.toDouble() / requests,
            latency = Percentiles.of(histogram),
            runsPerAnswer = runs.toDouble() / good,
            late = servers.sumOf { it.late }.toDouble() / runs,
            fellOver = servers.sumOf { it.fellOver },
            mostAtColdServer = servers.maxOf { it.mostWhileCold },
        )
    }

    private fun scheduleArrivals() {
        after(-ln(1 - random.nextDouble()) / rate) {
            submitRequest()
            scheduleArrivals()
        }
    }

    private fun submitRequest() {
        requests++
        val key = if (random.nextDouble() < scenario.hotShare) 0 else random.nextInt(KEYS)
        val gate = gates[key % servers.size].random(random)
        val request = GateRequest(
            id = requests,
            key = "key-$key",
            shard = "shard",
            caller = "caller-${random.nextInt(CALLERS)}",
            kind = RunKind.REPEATABLE,
            priority = Priority.NORMAL,
            fingerprint = "key-$key",
            deadlineAt = now.toLong() + scenario.deadlineMilliseconds,
            coalesceKey = "key-$key".takeIf { scenario.hotShare > 0 },
        )
        gate.submit(request)
    }

    private fun tick() {
        gates.flatten().forEach { it.onEvent(GateEvent.Tick) }
        after(TICK_MILLISECONDS, ::tick)
    }

    private fun scheduleFaults() {
        val faulty = servers.take(scenario.faultyServers).withIndex()
        when (scenario.fault) {
            ServerFault.NONE -> Unit
            ServerFault.STRAGGLERS ->
                faulty.forEach { (number, server) -> scheduleSlowdown(server, STRAGGLE_FIRST * (number + 1)) }

            ServerFault.COLD_RESTART -> faulty.forEach { (number, server) ->
                after(RESTART_AT + number) { server.restart() }
            }

            ServerFault.COLD_UNANNOUNCED -> faulty.forEach { (_, server) -> after(RESTART_AT) { server.becomeCold() } }
            ServerFault.BROKEN_CALLS -> faulty.forEach { (_, server) -> server.brokenShare = BROKEN_SHARE }
        }
    }

    private fun scheduleSlowdown(server: ModelServer, start: Double) {
        after(start) {
            server.slowFactor = STRAGGLER_FACTOR
            after(STRAGGLE_MILLISECONDS) {
                server.slowFactor = 1.0
                scheduleSlowdown(server, STRAGGLE_EVERY)
            }
        }
    }

    private fun configuration() = ServiceConfiguration(
        ServiceName("model"),
        shards = 1,
        routes = listOf(Route("read", "GET", "/{key}")),
        servers = listOf(BackendServer(ServerName("model"), Address("127.0.0.1", 1), FailureDomainName("model"))),
        limits = Limits(slots = ModelServer.SLOTS),
    )

    private companion object {
        const val HISTOGRAM_DIGITS = 3
        const val MICROSECONDS = 1_000.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val KEYS = 2_000
        const val CALLERS = 50
        const val TICK_MILLISECONDS = 10.0
        const val STRAGGLER_FACTOR = 8.0
        const val STRAGGLE_FIRST = 1_000.0
        const val STRAGGLE_MILLISECONDS = 1_000.0
        const val STRAGGLE_EVERY = 3_000.0
        const val RESTART_AT = 5_000.0
        const val BROKEN_SHARE = 0.3
    }
}
