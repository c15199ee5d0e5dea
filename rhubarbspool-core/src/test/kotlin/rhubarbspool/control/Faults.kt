/*
 * Faults of the controller fuzz test, and how they are generated from a seed.
 */
package rhubarbspool.control

import kotlin.random.Random

/** Violation of an invariant. */
internal class InvariantViolation(message: String) : RuntimeException(message)

/** A fault or an operator's action at [at] milliseconds of simulated time. */
internal data class Fault(
    val at: Long,
    val kind: FaultKind,
    val target: Int,
    val other: Int,
    val durationMilliseconds: Long,
)

/** Part of the simulation that a fault affects. */
internal enum class FaultArea { NETWORK, PLATFORM, PROCESS, OPERATOR, SERVER }

internal enum class FaultKind(val area: FaultArea) {
    CUT_PEERS(FaultArea.NETWORK),
    CUT_ONE_WAY(FaultArea.NETWORK),
    CUT_DOMAIN(FaultArea.NETWORK),
    CUT_DOMAIN_AND_TABLE(FaultArea.NETWORK),
    CUT_TABLE(FaultArea.PLATFORM),
    TABLE_OUTAGE(FaultArea.PLATFORM),
    TABLE_SLOW(FaultArea.PLATFORM),
    LOSE_REPLIES(FaultArea.PLATFORM),
    PAUSE_CONTROLLER(FaultArea.PROCESS),
    PAUSE_ROUTER(FaultArea.PROCESS),
    PAUSE_INSTANCE(FaultArea.PROCESS),
    KILL_INSTANCE(FaultArea.PROCESS),
    RESTART_CONTROLLER(FaultArea.PROCESS),
    RESTART_ROUTER(FaultArea.PROCESS),
    LEAVE(FaultArea.PROCESS),
    DRAIN_SERVER(FaultArea.OPERATOR),
    DRAIN_INSTANCE(FaultArea.OPERATOR),
    DRAIN_DOMAIN(FaultArea.OPERATOR),
    CONFIGURE(FaultArea.OPERATOR),
    SERVER_DOWN(FaultArea.SERVER),
    HOT_KEY(FaultArea.SERVER),
}

internal object Faults {
    private const val FIRST_MILLISECONDS = 2_000L
    private const val LAST_MILLISECONDS = 19_000L

    /** Generates the faults of [seed]; they often overlap. */
    fun draw(seed: Long): List<Fault> {
        val random = Random(seed)
        return List(random.nextInt(3, 14)) {
            Fault(
                random.nextLong(FIRST_MILLISECONDS, LAST_MILLISECONDS),
                FaultKind.entries.random(random),
                random.nextInt(12),
                random.nextInt(12),
                random.nextLong(50, if (random.nextBoolean()) 1_500 else 9_000),
            )
        }.sortedBy { it.at }
    }
}
