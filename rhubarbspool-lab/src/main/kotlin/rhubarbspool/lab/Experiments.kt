/*
 * The named experiments, each with its scenarios and the variants that it compares.
 */
package rhubarbspool.lab

import rhubarbspool.gate.GatePolicy

/** An experiment: every scenario under every variant. */
internal data class Experiment(
    val name: String,
    val question: String,
    val scenarios: List<Scenario>,
    val variants: List<Variant>,
)

/** All experiments. */
internal object Experiments {
    private const val ROUTERS_TODAY = 25
    private val loads = listOf(0.5, 0.8, 1.0, 1.5, 3.0)
    private val gate = Variant("gate")
    private val direct = Variant("direct-25", senders = ROUTERS_TODAY)
    private val noRefusal = Variant("no-early-refusal", policy = GatePolicy(earlyRefusal = false))
    private val noSlowStart = Variant("no-slow-start", policy = GatePolicy(slowStart = false))
    private val noCoalescing = Variant("no-coalescing", policy = GatePolicy(coalesce = false))
    private val noBudget = Variant("no-retry-budget", policy = GatePolicy(retryBudget = false))

    val all: List<Experiment> = listOf(
        Experiment(
            "load",
            "What is answered in time at growing load?",
            loads.map { Scenario("load", it) },
            listOf(gate, direct, noRefusal),
        ),
        Experiment(
            "stragglers",
            "What do one to three stragglers do to the tail?",
            (0..3).map { Scenario("stragglers-$it", 0.6, Trouble.STRAGGLERS, it) },
            listOf(gate, direct, noRefusal),
        ),
        Experiment(
            "cold",
            "Does a server that comes back cold, or turns cold without a word, get more than it can carry?",
            listOf(
                Scenario("restart", 0.6, Trouble.COLD_RESTART, 1),
                Scenario("unannounced", 0.6, Trouble.COLD_UNANNOUNCED, 1),
            ),
            listOf(gate, direct, noSlowStart),
        ),
        Experiment(
            "coalescing",
            "How many runs does sharing save when one key is hot?",
            listOf(0.1, 0.3).map { Scenario("hot-$it", 0.5, hotShare = it) },
            listOf(gate, noCoalescing),
        ),
        Experiment(
            "retries",
            "How many runs does an answer cost when servers break calls off?",
            listOf(0.5, 0.8).map { Scenario("broken", it, Trouble.BROKEN_CALLS, 5) },
            listOf(gate, noBudget),
        ),
        Experiment(
            "headroom",
            "Does square-root headroom in the admission test help?",
            listOf(0.8, 1.0, 1.5, 3.0).map { Scenario("headroom", it) },
            listOf(0.0, 0.5, 1.0).map { Variant("headroom-$it", policy = GatePolicy(squareRootHeadroom = it)) },
        ),
    )
}
