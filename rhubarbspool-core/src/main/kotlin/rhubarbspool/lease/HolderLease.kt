/*
 * The holder's side of a lease. A holder may act while it has evidence younger than the lease: either its own row was
 * confirmed at the table, or every successor that the table may name has promised to wait. The age of evidence counts
 * from when its request was sent.
 */
package rhubarbspool.lease

import rhubarbspool.table.Successor

/** Evidence that no successor has taken over from this holder. All times are monotonic milliseconds. */
class HolderLease {
    private var confirmed: Set<Successor> = emptySet()
    private var proposed: Set<Successor> = emptySet()
    private val promisedAt = HashMap<Successor, Long>()
    private val informed = HashSet<Successor>()
    private var tableSentAt: Long? = null

    /** True after a lapse, until a write at the table is confirmed; promises alone don't end it. */
    var lapsed: Boolean = true
        private set

    /** Successors that the table may name: the confirmed list and, while a write is pending, the proposed one. */
    val named: Set<Successor> get() = confirmed + proposed

    /** Records that a write naming [successors] is sent at [sentAt], from when new ones count as having promised. */
    fun proposeSuccessors(successors: Collection<Successor>, sentAt: Long) {
        val added = successors.toSet() - named
        added.forEach { promisedAt[it] = sentAt }
        proposed = proposed + successors
    }

    /** Records that the table confirmed [successors] by a write sent at [sentAt]. Ends a lapse. */
    fun confirmedByTable(successors: Collection<Successor>, sentAt: Long) {
        confirmed = successors.toSet()
        proposed = emptySet()
        promisedAt.keys.retainAll(confirmed)
        tableSentAt = sentAt
        lapsed = false
    }

    /**
     * Records a promise of [successor] in response to a query sent at [sentAt]. With [unrecordedRuns], the query said
     * that this holder may have run requests that are not recorded at the table.
     */
    fun recordPromise(successor: Successor, sentAt: Long, unrecordedRuns: Boolean = false) {
        if (successor !in named) return
        promisedAt.merge(successor, sentAt, ::maxOf)
        if (unrecordedRuns) informed += successor else informed -= successor
    }

    /** Whether every successor knows that this holder may have run requests that are not recorded at the table. */
    val allInformed: Boolean get() = informed.containsAll(named)

    /** Removes [successor], whose promise is not needed: the table shows that it can never take over. */
    fun removeSuccessor(successor: Successor) {
        confirmed = confirmed - successor
        proposed = proposed - successor
    }

    /** Ends the lease at once: a successor took over, or the holder leaves. */
    fun revoke() {
        lapsed = true
        tableSentAt = null
    }

    /** Whether the holder may act at [now] with a lease of [duration]; sets [lapsed] if not. */
    fun valid(now: Long, duration: Long): Boolean {
        if (!lapsed && now >= validUntil(duration)) lapsed = true
        return !lapsed
    }

    /** When the evidence expires, whether or not the lease lapsed before. */
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
