/*
 * Which other instances can be reached. Those that were lost are passed over for a moment. Where several instances of a
 * failure domain fall silent together and none is heard from, the domain is cut off from here: asking the next of its
 * instances would only use up the time that a caller has.
 */
package rhubarbspool.placement

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Remembers losses. All times are monotonic milliseconds. */
class InstanceReachability {
    private val lostAt = HashMap<InstanceName, Long>()
    private val silentAt = HashMap<FailureDomainName, HashMap<InstanceName, Long>>()
    private val lastContactAt = HashMap<FailureDomainName, Long>()

    /** [instance] of [domain] was lost at [now], by its silence when it is [silent]; true when that is news. */
    fun recordLoss(instance: InstanceName, domain: FailureDomainName, silent: Boolean, now: Long): Boolean {
        if (silent) silentAt.getOrPut(domain) { HashMap() }[instance] = now
        val newlyLost = !isAvoided(instance, now)
        lostAt[instance] = now
        return newlyLost
    }

    /** Some instance of [domain] was heard from at [now]. */
    fun recordContact(domain: FailureDomainName, now: Long) {
        lastContactAt[domain] = now
    }

    /** Whether [instance] was lost shortly before [now]. */
    fun isAvoided(instance: InstanceName, now: Long): Boolean =
        lostAt[instance]?.let { now - it < AVOID_MILLISECONDS } ?: false

    /** Whether [domain] is cut off at [now]. */
    fun isCutOff(domain: FailureDomainName, now: Long): Boolean {
        val silent = silentAt[domain]?.values?.filter { now - it < AVOID_MILLISECONDS }.orEmpty()
        val lastContact = lastContactAt[domain]
        return silent.size >= MINIMUM_SILENT_INSTANCES && (lastContact == null || lastContact < silent.min())
    }

    private companion object {
        /** How long an instance that could not be reached is passed over. */
        const val AVOID_MILLISECONDS = 1_500L

        /** One silent instance may be suspended; two at the same time, with no other heard from, seldom are. */
        const val MINIMUM_SILENT_INSTANCES = 2
    }
}
