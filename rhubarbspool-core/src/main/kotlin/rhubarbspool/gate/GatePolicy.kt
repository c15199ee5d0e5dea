/*
 * Switches of a gate's policy. Production uses the defaults; the lab disables one at a time to measure its effect.
 */
package rhubarbspool.gate

import kotlin.math.sqrt

/**
 * Which mechanisms of a gate are enabled.
 *
 * @property earlyRefusal whether a request that can't meet its deadline is refused at once.
 * @property slowStart whether a cold server starts with fewer slots and gains the others.
 * @property coalesce whether equal concurrent reads share a call.
 * @property retryBudget whether retries are limited to a share of the answers.
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
    /** Time allowed from the expected start of a request to its deadline, in service times, with [ahead] before it. */
    fun headroom(ahead: Int): Double = 1.0 + squareRootHeadroom * sqrt(ahead.toDouble())
}
