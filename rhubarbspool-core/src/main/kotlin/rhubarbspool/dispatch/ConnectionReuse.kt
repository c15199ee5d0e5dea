/*
 * Decides whether connections to a server carry more than one request. For a while after a server has repeated a
 * response, its connections carry one request each, so that whatever it repeats meets no other request. The time grows
 * if it does so again.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.Address

/** Servers whose connections are not reused. All times are monotonic milliseconds. */
class ConnectionReuse {
    private class Suspension(val until: Long, val duration: Long)

    private val suspensions = HashMap<Address, Suspension>()

    /** Whether a connection to [address] may carry another request at [now]. */
    fun isAllowed(address: Address, now: Long): Boolean = suspensions[address]?.let { now >= it.until } ?: true

    /**
     * A connection to [address] was out of order at [now]. Returns the time for which connections to it are not reused
     * from now on; null if they were not reused before.
     */
    fun onDisorder(address: Address, now: Long): Long? {
        if (!isAllowed(address, now)) return null
        suspensions.values.removeAll { now - it.until > FORGET_MILLISECONDS }
        val earlier = suspensions[address]?.duration
        val duration = if (earlier == null) INITIAL_MILLISECONDS else minOf(2 * earlier, MAXIMUM_MILLISECONDS)
        suspensions[address] = Suspension(now + duration, duration)
        return duration
    }

    private companion object {
        const val INITIAL_MILLISECONDS = 10_000L

        /** Reuse is tried again at least this often, because each new connection costs the server time. */
        const val MAXIMUM_MILLISECONDS = 160_000L
        const val FORGET_MILLISECONDS = 160_000L
    }
}
