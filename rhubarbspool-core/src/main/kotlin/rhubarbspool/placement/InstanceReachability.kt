/*
 * Tracks which other instances can be reached. A lost instance is avoided until it responds again, so that no request
 * waits for one that has ended for good; probes find out whether it responds. If several instances of a failure domain
 * become silent together and no other one responds, the domain is cut off from here: trying the next of its instances
 * would only use up the time before the caller's deadline.
 */
package rhubarbspool.placement

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Records lost and reachable instances. All times are monotonic milliseconds. */
class InstanceReachability {
    private data class Loss(val domain: FailureDomainName, val at: Long, val silentAt: Long?)

    private val losses = HashMap<InstanceName, Loss>()
    private val lastContactAt = HashMap<FailureDomainName, Long>()

    /** The instances that are avoided. */
    val lost: Set<InstanceName> get() = losses.keys

    /** The failure domains of which no instance can be reached. */
    val cutOffDomains: Set<FailureDomainName> get() = losses.values.map { it.domain }.filter(::isCutOff).toSet()

    /**
     * Records that the connection to [instance] of [domain] was lost at [now]; [silent] if it stopped responding.
     * Returns false if the instance was already avoided.
     */
    fun recordLoss(instance: InstanceName, domain: FailureDomainName, silent: Boolean, now: Long): Boolean {
        val known = losses[instance]
        val silentAt = known?.silentAt ?: now.takeIf { silent }
        losses[instance] = Loss(domain, known?.at ?: now, silentAt)
        return known == null
    }

    /** Records that a message from [instance] of [domain] arrived at [now]; returns whether it was avoided. */
    fun recordContact(instance: InstanceName, domain: FailureDomainName, now: Long): Boolean {
        lastContactAt[domain] = now
        return losses.remove(instance) != null
    }

    /** Forgets losses of instances that are not in [members]. */
    fun retainAll(members: Set<InstanceName>) {
        losses.keys.retainAll(members)
    }

    /** Whether [instance] is avoided because it was lost and has not responded since. */
    fun isAvoided(instance: InstanceName): Boolean = instance in losses

    /** Time since which [instance] is avoided; null if it is not. */
    fun lostSince(instance: InstanceName): Long? = losses[instance]?.at

    /** Whether [domain] is cut off. */
    fun isCutOff(domain: FailureDomainName): Boolean {
        val contactAt = lastContactAt[domain]
        val silent = losses.values.count { loss ->
            loss.domain == domain && loss.silentAt != null && (contactAt == null || contactAt < loss.silentAt)
        }
        return silent >= MINIMUM_SILENT_INSTANCES
    }

    private companion object {
        /** A single silent instance may be suspended; two at the same time, with no other responding, rarely are. */
        const val MINIMUM_SILENT_INSTANCES = 2
    }
}
