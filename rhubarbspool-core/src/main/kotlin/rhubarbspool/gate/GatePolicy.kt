/*
 * Switches of a gate's policy. The product runs the defaults; the lab takes one out at a time to measure it.
 */
package rhubarbspool.gate

import kotlin.math.sqrt

/**
 * Which decisions a gate takes.
 *
 * @property earlyRefusal whether a request that can't meet its deadline is refused at once.
 * @property slowStart whether a cold server earns its slots.
 * @property coalesce whether equal reads in flight share a call.
 * @property retryBudget whether retries are bounded to a share of the answers.
 * @property squareRootHeadroom weight of the square root of the requests ahead in the admission test; see
 *   Liu, "Staffing to Stabilize the Tail Probability of Delay", for where the square root comes from.
 */
data class GatePolicy(
    val earlyRefusal: Boolean = true,
    val slowStart: Boolean = true,
    val coalesce: Boolean = true,
    val retryBudget: Boolean = true,
    val squareRootHeadroom: Double = 1.0,
) {
    /** Service times that are kept free between the expected end of a request and its deadline. */
    fun headroom(ahead: Int): Double = 1.0 + squareRootHeadroom * sqrt(ahead.toDouble())
}
