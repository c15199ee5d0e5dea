/*
 * The keys that were granted to a stand-in server. A grant of a part of the keys of another one replaces that part.
 */
package rhubarbspool.standins.instance

/** Grants with their fencing tokens; all times are nanoseconds. */
internal class GrantedKeys {
    private class Grant(val fence: Long, val expiresAt: Long)

    private val grants = HashMap<IntRange, Grant>()

    /** Grants [keys] until [expiresAt]; returns false if a higher token than [fence] was seen on one of them. */
    fun grant(keys: IntRange, fence: Long, expiresAt: Long): Boolean {
        if (overlapping(keys).any { it.value.fence > fence }) return false
        release(keys)
        grants[keys] = Grant(fence, expiresAt)
        return true
    }

    /** Ends the grants of [keys]; what is left of a grant of more keys stays as it is. */
    fun release(keys: IntRange) = overlapping(keys).forEach { (granted, grant) ->
        grants.remove(granted)
        if (granted.first < keys.first) grants[granted.first until keys.first] = grant
        if (granted.last > keys.last) grants[keys.last + 1..granted.last] = grant
    }

    /** Key ranges whose grants have not expired at [now]. */
    fun held(now: Long): Set<IntRange> = grants.filterValues { it.expiresAt > now }.keys.toSet()

    private fun overlapping(keys: IntRange): Map<IntRange, Grant> =
        grants.filterKeys { it.first <= keys.last && keys.first <= it.last }
}
