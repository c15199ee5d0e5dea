/*
 * Tracks which other instances can be reached. Lost instances are avoided for a short time. If several instances of a
 * failure domain become silent together and no other one responds, the domain is cut off from here: trying the next of
 * its instances would only use up the time before the caller's deadline.
 */
package rhubarbspool.placement

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Records lost and reachable instances. All times are monotonic milliseconds. */
class InstanceReachability {
    private val lostAt = HashMap<InstanceName, Long>()
    private val silentAt = HashMap<FailureDomainName, HashMap<InstanceName, Long>>()
    private val lastContactAt = HashMap<FailureDomainName, Long>()

    /**
     * Records that the connection to [instance] of [domain] was lost at [now]; [silent] if it stopped responding.
     * Returns false if the instance was already avoided.
     */
    fun recordLoss(instance: InstanceName, domain: FailureDomainName, silent: Boolean, now: Long): Boolean {
        if (silent) silentAt.getOrPut(domain) { HashMap() }[instance] = now
        val newlyLost = !isAvoided(instance, now)
        lostAt[instance] = now
        return newlyLost
    }

    /** Records that a message from an instance of [domain] arrived at [now]. */
    fun recordContact(domain: FailureDomainName, now: Long) {
        lastContactAt[domain] = now
    }

    /** Whether [instance] is avoided because it was lost shortly before [now]. */
    fun isAvoided(instance: InstanceName, now: Long): Boolean =
        lostAt[instance]?.let { now - it < AVOID_MILLISECONDS } ?: false

    /** Whether [domain] is cut off at [now]. */
    fun isCutOff(domain: FailureDomainName, now: Long): Boolean {
        val silent = silentAt[domain]?.values?.filter { now - it < AVOID_MILLISECONDS }.orEmpty()
        val lastContact = lastContactAt[domain]
        return silent.size >= MINIMUM_SILENT_INSTANCES && (lastContact == null || lastContact < silent.min())
    }

    private companion object {
        /** How long a lost instance is avoided. */
        const val AVOID_MILLISECONDS = 1_500L

        /** A single silent instance may be suspended; two at the same time, with no other responding, rarely are. */
        const val MINIMUM_SILENT_INSTANCES = 2
    }
}
