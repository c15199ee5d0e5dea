/*
 * Behaviour of a backend server stand-in, which can be replaced over HTTP while it runs, and its messages.
 */
package rhubarbspool.standins

import kotlinx.serialization.Serializable

/**
 * Behaviour of a backend server stand-in.
 *
 * @property slots requests that it runs concurrently when warm; more are queued.
 * @property serviceMilliseconds mean time of a run.
 * @property coldMilliseconds how long it stays cold after a start.
 * @property coldSlots requests, running or queued, that it can hold while cold; more restart the cold phase.
 * @property coldFactor factor on the time of a run while cold.
 * @property slowFactor factor on the time of every run, for a straggler.
 * @property answerBytes size of the filler in an answer.
 * @property checksGrants whether it refuses requests without a current grant.
 * @property saysWarm whether its health report hides that it is cold.
 * @property draining whether its health report says that it is leaving.
 * @property shedFraction share of requests that it refuses before running them.
 * @property silent whether requests get no response; health, control and grants are still answered.
 * @property crashOn requests whose target contains this text crash it; empty for none.
 */
@Serializable
data class ServerBehaviour(
    val slots: Int = 2,
    val serviceMilliseconds: Double = 5.0,
    val coldMilliseconds: Long = 0,
    val coldSlots: Int = 1,
    val coldFactor: Double = 4.0,
    val slowFactor: Double = 1.0,
    val answerBytes: Int = 64,
    val checksGrants: Boolean = true,
    val saysWarm: Boolean = false,
    val draining: Boolean = false,
    val shedFraction: Double = 0.0,
    val silent: Boolean = false,
    val crashOn: String = "",
)

/** Grant that a gate sends to its server; expires [remainingMilliseconds] after it arrives. */
@Serializable
data class GrantMessage(val gateEpoch: Long, val remainingMilliseconds: Long)

/** Health report of a server. */
@Serializable
data class HealthMessage(
    val run: String,
    val state: String,
    val draining: Boolean = false,
    val running: Int = 0,
)

/** Counts of a stand-in, for tests and experiments. */
@Serializable
data class ServerCounts(
    val runs: Long,
    val repeatedRequestIds: List<String>,
    val mostAtOnce: Int,
    val mostAtOnceCold: Int,
    val fellOver: Int,
    val refusedByGrant: Long,
)
