/*
 * How a backend server stand-in behaves; switched over HTTP while it runs.
 */
package rhubarbspool.standins

import kotlinx.serialization.Serializable

/**
 * Behaviour of a backend server stand-in.
 *
 * @property slots requests that it runs at once when warm; more wait in line.
 * @property serviceMilliseconds mean time of a run.
 * @property coldMilliseconds how long it stays cold after a start.
 * @property coldSlots requests at once that it carries while cold; more make it fall over.
 * @property coldFactor how much slower a run is while cold.
 * @property slowFactor how much slower every run is, for a straggler.
 * @property answerBytes size of the filler in an answer.
 * @property checksGrants whether it refuses requests without a current grant.
 * @property saysWarm whether its health report hides that it is cold.
 * @property draining whether its health report says that it is leaving.
 * @property shedFraction share of requests that it refuses before running them.
 * @property silent whether open connections go silent: nothing more is read or written on them.
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

/** A grant that the gate of a server sends it; it ends [remainingMilliseconds] after it arrives. */
@Serializable
data class GrantMessage(val gateEpoch: Long, val remainingMilliseconds: Long)

/** A server's report of its own health. */
@Serializable
data class HealthMessage(
    val run: String,
    val state: String,
    val draining: Boolean = false,
    val running: Int = 0,
)

/** What a stand-in saw, for tests and experiments. */
@Serializable
data class ServerCounts(
    val runs: Long,
    val repeatedRequestIds: List<String>,
    val mostAtOnce: Int,
    val mostAtOnceCold: Int,
    val fellOver: Int,
    val refusedByGrant: Long,
)
