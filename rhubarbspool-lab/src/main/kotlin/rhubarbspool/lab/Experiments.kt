/*
 * The named experiments, each with its scenarios and the variants that it compares.
 */
package rhubarbspool.lab

import rhubarbspool.gate.GatePolicy

/** An experiment, which runs each of [scenarios] under each of [variants]; [question] is the title of its plots. */
internal data class Experiment(
    val name: String,
    val question: String,
    val scenarios: List<Scenario>,
    val variants: List<Variant>,
)

internal object Experiments {
    private const val ROUTER_COUNT = 25
    private const val HALF_LOAD = 0.5
    private const val TYPICAL_LOAD = 0.6
    private const val HIGH_LOAD = 0.8
    private const val FULL_LOAD = 1.0
    private const val OVERLOAD = 1.5
    private const val EXTREME_OVERLOAD = 3.0
    private const val MOST_STRAGGLERS = 3
    private const val FAULTY_SERVERS = 5
    private const val SMALL_HOT_SHARE = 0.1
    private const val LARGE_HOT_SHARE = 0.3
    private const val HALF_HEADROOM = 0.5
    private val loads = listOf(HALF_LOAD, HIGH_LOAD, FULL_LOAD, OVERLOAD, EXTREME_OVERLOAD)
    private val gate = Variant("gate")
    private val direct = Variant("direct-25", senders = ROUTER_COUNT)
    private val noEarlyRefusal = Variant("no-early-refusal", policy = GatePolicy(earlyRefusal = false))
    private val noSlowStart = Variant("no-slow-start", policy = GatePolicy(slowStart = false))
    private val noCoalescing = Variant("no-coalescing", policy = GatePolicy(coalesce = false))
    private val noRetryBudget = Variant("no-retry-budget", policy = GatePolicy(retryBudget = false))

    val all: List<Experiment> = listOf(
        Experiment(
            "load",
            "What is answered in time at growing load?",
            loads.map { Scenario("load", it) },
            listOf(gate, direct, noEarlyRefusal),
        ),
        Experiment(
            "stragglers",
            "What do one to three stragglers do to the tail?",
            (0..MOST_STRAGGLERS).map { Scenario("stragglers-$it", TYPICAL_LOAD, ServerFault.STRAGGLERS, it) },
            listOf(gate, direct, noEarlyRefusal),
        ),
        Experiment(
            "cold",
            "Does a server that comes back cold, or turns cold without a word, get more than it can carry?",
            listOf(
                Scenario("restart", TYPICAL_LOAD, ServerFault.COLD_RESTART, 1),
                Scenario("unannounced", TYPICAL_LOAD, ServerFault.COLD_UNANNOUNCED, 1),
            ),
            listOf(gate, direct, noSlowStart),
        ),
        Experiment(
            "coalescing",
            "How many runs does sharing save when one key is hot?",
            listOf(SMALL_HOT_SHARE, LARGE_HOT_SHARE).map { Scenario("hot-$it", HALF_LOAD, hotShare = it) },
            listOf(gate, noCoalescing),
        ),
        Experiment(
            "retries",
            "How many runs does an answer cost when servers break calls off?",
            listOf(HALF_LOAD, HIGH_LOAD).map { Scenario("broken", it, ServerFault.BROKEN_CALLS, FAULTY_SERVERS) },
            listOf(gate, noRetryBudget),
        ),
        Experiment(
            "headroom",
            "Does square-root headroom in the admission test help?",
            listOf(HIGH_LOAD, FULL_LOAD, OVERLOAD, EXTREME_OVERLOAD).map { Scenario("headroom", it) },
            listOf(
                0.0,
                HALF_HEADROOM,
                1.0
            ).map { Variant("headroom-$it", policy = GatePolicy(squareRootHeadroom = it)) },
        ),
    )
}
