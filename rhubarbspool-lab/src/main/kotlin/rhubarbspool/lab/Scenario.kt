/*
 * What an experiment varies: the load, what goes wrong with the servers, and the policy under test.
 */
package rhubarbspool.lab

import kotlinx.serialization.Serializable
import rhubarbspool.gate.GatePolicy

/** What goes wrong with servers in a scenario. */
internal enum class Trouble { NONE, STRAGGLERS, COLD_RESTART, COLD_UNANNOUNCED, BROKEN_CALLS }

/**
 * Load and troubles.
 *
 * @property loadFactor offered load as a share of what all warm servers can do.
 * @property hotShare share of requests that ask for one hot key.
 * @property troubled servers that are in trouble.
 */
internal data class Scenario(
    val name: String,
    val loadFactor: Double,
    val trouble: Trouble = Trouble.NONE,
    val troubled: Int = 0,
    val hotShare: Double = 0.0,
    val servers: Int = 20,
    val serviceMilliseconds: Double = 5.0,
    val deadlineMilliseconds: Long = 100,
    val seconds: Int = 20,
)

/**
 * A policy under test.
 *
 * @property senders routers that send to each server; 1 is the one gate for each server.
 */
internal data class Variant(val name: String, val senders: Int = 1, val policy: GatePolicy = GatePolicy())

/**
 * What a scenario came to under a variant.
 *
 * @property goodput answers within the deadline as a share of the requests.
 * @property runsPerAnswer runs at servers for each good answer.
 * @property late runs that ended after nobody waited for them any more, as a share of the runs.
 * @property mostAtColdServer most requests that a cold server had at once.
 */
@Serializable
internal data class Outcome(
    val scenario: String,
    val variant: String,
    val loadFactor: Double,
    val requests: Long,
    val goodput: Double,
    val latency: Percentiles,
    val runsPerAnswer: Double,
    val late: Double,
    val fellOver: Int,
    val mostAtColdServer: Int,
)
