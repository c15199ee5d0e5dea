/*
 * The holder's side of a lease. A holder may act while it has evidence younger than the lease: either its own
 * row was confirmed at the table, or every successor that the table may name has promised to wait. Evidence
 * counts from when the question was sent.
 */
package rhubarbspool.lease

import rhubarbspool.table.Successor

/** Evidence that nobody has taken over from this holder. All times are monotonic milliseconds. */
class HolderLease {
    private var confirmed: Set<Successor> = emptySet()
    private var proposed: Set<Successor> = emptySet()
    private val promisedAt = HashMap<Successor, Long>()
    private val informed = HashSet<Successor>()
    private var tableSentAt: Long? = null

    /** True after a lapse; only a write at the table ends it. */
    var lapsed: Boolean = true
        private set

    /** Successors that the table may name: the confirmed list and, while a write is open, the proposed one. */
    val named: Set<Successor> get() = confirmed + proposed

    /** Notes that a write naming [successors] is about to be sent at [sentAt]. */
    fun proposeSuccessors(successors: Collection<Successor>, sentAt: Long) {
        val added = successors.toSet() - named
        added.forEach { promisedAt[it] = sentAt }
        proposed = proposed + successors
    }

    /** Notes that the table holds the list [successors] by a write sent at [sentAt]. */
    fun confirmedByTable(successors: Collection<Successor>, sentAt: Long) {
        confirmed = successors.toSet()
        proposed = emptySet()
        promisedAt.keys.retainAll(confirmed)
        tableSentAt = sentAt
        lapsed = false
    }

    /**
     * Notes a promise of [successor] to a question sent at [sentAt]; [unrecordedRuns] when the question said that
     * this holder may have run requests which the table does not know of.
     */
    fun recordPromise(successor: Successor, sentAt: Long, unrecordedRuns: Boolean = false) {
        if (successor !in named) return
        promisedAt.merge(successor, sentAt, ::maxOf)
        if (unrecordedRuns) informed += successor else informed -= successor
    }

    /** Whether every successor knows that this holder may have run requests which the table does not know of. */
    val allInformed: Boolean get() = informed.containsAll(named)

    /** Stops waiting for a successor that the table shows can never take over. */
    fun removeSuccessor(successor: Successor) {
        confirmed = confirmed - successor
        proposed = proposed - successor
    }

    /** Gives everything up: somebody else took over, or the holder leaves. */
    fun revoke() {
        lapsed = true
        tableSentAt = null
    }

    /** Whether the holder may act at [now] with a lease of [duration]; a lapse is remembered. */
    fun valid(now: Long, duration: Long): Boolean {
        if (!lapsed && now >= validUntil(duration)) lapsed = true
        return !lapsed
    }

    /** Time until which the evidence holds, leaving aside whether the lease lapsed before. */
    fun validUntil(duration: Long): Long {
        val byPromises = named.minOfOrNull { promisedAt[it] ?: Long.MIN_VALUE }
        val byTable = tableSentAt?.plus(duration) ?: Long.MIN_VALUE
        return when {
            byPromises == null -> FOREVER
            byPromises == Long.MIN_VALUE -> byTable
            else -> maxOf(byTable, byPromises + duration)
        }
    }

    /** Named successors whose last promise is older than [age]. */
    fun unresponsive(now: Long, age: Long): Set<Successor> =
        named.filterTo(HashSet()) { now - (promisedAt[it] ?: (now - age - 1)) > age }

    private companion object {
        const val FOREVER = Long.MAX_VALUE / 2
    }
}
