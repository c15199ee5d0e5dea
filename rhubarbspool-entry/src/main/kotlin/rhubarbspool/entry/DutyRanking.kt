/*
 * Which instances perform duties for others: reading the table, coordinating, and dispatching for pools. Instances with
 * a larger processor come first. A few instances of each failure domain dispatch for all of its pools, so that an
 * instance has connections to few others, however many there are. The order is kept until the members change.
 */
package rhubarbspool.entry

import rhubarbspool.model.FailureDomainName
import rhubarbspool.placement.Rendezvous

/** Ranks the members in [shared]. */
internal class DutyRanking(private val shared: SharedRows) {
    private var rankedChanges = -1L
    private val orders = HashMap<String, List<Member>>()
    private val dispatchers = HashMap<PoolName, List<Member>>()

    /** All members in order of preference for [subject]. */
    fun order(subject: String): List<Member> {
        dropOutdated()
        return orders.getOrPut(subject) { rank(subject, shared.members.values) }
    }

    /** Members of [domain] in order of preference as dispatchers of its pools; the first few of them dispatch. */
    fun dispatchersIn(domain: FailureDomainName): List<Member> {
        dropOutdated()
        return orders.getOrPut("dispatch/$domain") {
            rank("dispatch", shared.members.values.filter { it.domain == domain })
        }
    }

    /** The instances that dispatch for [pool] as long as they can be reached, the preferred one first. */
    fun dispatchersOf(pool: PoolName): List<Member> {
        dropOutdated()
        return dispatchers.getOrPut(pool) {
            val candidates = dispatchersIn(FailureDomainName(pool.domain)).take(DISPATCHERS_PER_DOMAIN)
            Rendezvous.order("${pool.service}/${pool.domain}/${pool.server}", candidates) { it.instance.text }
        }
    }

    private fun rank(subject: String, members: Collection<Member>) =
        Rendezvous.order(subject, members, { it.processorPercent }) { it.instance.text }

    private fun dropOutdated() {
        if (rankedChanges == shared.memberChanges) return
        rankedChanges = shared.memberChanges
        orders.clear()
        dispatchers.clear()
    }

    private companion object {
        /** Enough that the loss of one leaves most of a domain's pools alone. */
        const val DISPATCHERS_PER_DOMAIN = 4
    }
}
