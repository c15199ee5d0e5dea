/*
 * Tells a lost instance, which is replaced within a second, from a failure domain that is cut off, where waiting
 * is hopeless.
 */
package rhubarbspool.routing

import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Which instances of other failure domains could not be reached lately. Times are monotonic milliseconds. */
class DomainReachability {
    private val failures = HashMap<FailureDomainName, HashMap<InstanceName, Long>>()

    /** An instance of [domain] answered. */
    fun recordSuccess(domain: FailureDomainName) {
        failures[domain]?.clear()
    }

    /** [instance] of [domain] could not be reached at [now]. */
    fun recordFailure(domain: FailureDomainName, instance: InstanceName, now: Long) {
        failures.getOrPut(domain) { HashMap() }[instance] = now
    }

    /** Whether several instances of [domain], and nothing but failures, were seen shortly before [now]. */
    fun isCutOff(domain: FailureDomainName, now: Long): Boolean =
        (failures[domain]?.values?.count { now - it < FAILURE_WINDOW_MILLISECONDS } ?: 0) >= MINIMUM_FAILED_INSTANCES

    private companion object {
        const val FAILURE_WINDOW_MILLISECONDS = 3_000L
        const val MINIMUM_FAILED_INSTANCES = 2
    }
}
