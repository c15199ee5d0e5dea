/*
 * Distinguishes a lost instance, which is replaced within a second, from a failure domain that is cut off, where
 * waiting is useless.
 */
package rhubarbspool.routing

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Records recent failures to reach instances of other failure domains. Times are monotonic milliseconds. */
class DomainReachability {
    private val failures = HashMap<FailureDomainName, HashMap<InstanceName, Long>>()

    /** Records that an instance of [domain] responded, which clears the failures of the domain. */
    fun recordSuccess(domain: FailureDomainName) {
        failures[domain]?.clear()
    }

    /** Records that [instance] of [domain] could not be reached at [now]. */
    fun recordFailure(domain: FailureDomainName, instance: InstanceName, now: Long) {
        failures.getOrPut(domain) { HashMap() }[instance] = now
    }

    /** Whether several instances of [domain] failed shortly before [now] and none has responded since. */
    fun isCutOff(domain: FailureDomainName, now: Long): Boolean =
        (failures[domain]?.values?.count { now - it < FAILURE_WINDOW_MILLISECONDS } ?: 0) >= MINIMUM_FAILED_INSTANCES

    private companion object {
        const val FAILURE_WINDOW_MILLISECONDS = 3_000L
        const val MINIMUM_FAILED_INSTANCES = 2
    }
}
