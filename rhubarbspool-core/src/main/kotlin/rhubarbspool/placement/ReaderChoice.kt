/*
 * Chooses the instance that reads shared data for others: the first in a fixed order that has not failed recently.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** Records which instances failed. All times are monotonic milliseconds. */
class ReaderChoice {
    private val avoidedUntil = HashMap<InstanceName, Long>()

    /** Records that [instance] failed at [now]. */
    fun recordFailure(instance: InstanceName, now: Long) {
        avoidedUntil[instance] = now + AVOID_MILLISECONDS
    }

    /** Whether [instance] failed shortly before [now]. */
    fun hasRecentFailure(instance: InstanceName, now: Long): Boolean = (avoidedUntil[instance] ?: now) > now

    /** The first of [ranked] without a failure shortly before [now]; null if all failed. */
    fun choose(ranked: List<InstanceName>, now: Long): InstanceName? = ranked.firstOrNull { !hasRecentFailure(it, now) }

    private companion object {
        /** Time after which an instance that failed is tried again. */
        const val AVOID_MILLISECONDS = 4_000L
    }
}
