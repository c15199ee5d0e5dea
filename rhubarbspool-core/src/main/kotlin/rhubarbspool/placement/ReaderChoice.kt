/*
 * Chooses which instance reads shared data for others: the first in a fixed order that has not failed lately.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** Remembers who failed. All times are monotonic milliseconds. */
class ReaderChoice {
    private val avoidedUntil = HashMap<InstanceName, Long>()

    /** [instance] failed at [now]. */
    fun recordFailure(instance: InstanceName, now: Long) {
        avoidedUntil[instance] = now + AVOID_MILLISECONDS
    }

    /** Whether [instance] failed shortly before [now]. */
    fun hasRecentFailure(instance: InstanceName, now: Long): Boolean = (avoidedUntil[instance] ?: now) > now

    /** The first of [ranked] that did not fail shortly before [now]; null when all did. */
    fun choose(ranked: List<InstanceName>, now: Long): InstanceName? = ranked.firstOrNull { !hasRecentFailure(it, now) }

    private companion object {
        /** An instance that failed is tried again after this time. */
        const val AVOID_MILLISECONDS = 4_000L
    }
}
