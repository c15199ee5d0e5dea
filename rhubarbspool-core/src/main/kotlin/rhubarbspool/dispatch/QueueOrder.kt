/*
 * Requests that wait in a pool, in the order in which they are to be sent.
 */
package rhubarbspool.dispatch

/** How requests that can still be answered in time are ordered. */
enum class QueueOrder {
    /** In the order of their due times, whatever waits. */
    DUE_TIME,

    /** In the order of their due times, and youngest first while too many wait. */
    ADAPTIVE,
}

/** Waiting tickets. Times are milliseconds. */
internal class TicketQueue(private val order: QueueOrder) {
    private class Entry(val ticket: Ticket, val sequence: Long)

    private data class Rank(val late: Boolean, val priority: Int, val dueAt: Long) {
        fun precedesOrTies(other: Rank): Boolean =
            compareValuesBy(this, other, { it.late }, { it.priority }, { it.dueAt }) <= 0
    }

    private val entries = ArrayList<Entry>()
    private var sequence = 0L

    /** Number of waiting tickets. */
    val size: Int get() = entries.size

    /** Waiting tickets in no particular order. */
    val tickets: List<Ticket> get() = entries.map { it.ticket }

    /** The ticket that came last; there must be one. */
    val newest: Ticket get() = entries.maxBy { it.sequence }.ticket

    /** Adds [ticket]. */
    fun add(ticket: Ticket) {
        entries += Entry(ticket, ++sequence)
    }

    /** Takes out all tickets that [matches]; true when there were any. */
    fun remove(matches: (Ticket) -> Boolean): Boolean = entries.removeAll { matches(it.ticket) }

    /** Tickets that would be sent before [ticket] at [now], where requests [meanServiceTime] take so long. */
    fun countAhead(ticket: Ticket, meanServiceTime: Double, now: Long): Int {
        val rank = rankOf(ticket, meanServiceTime, now)
        return entries.count { rankOf(it.ticket, meanServiceTime, now).precedesOrTies(rank) }
    }

    /**
     * Tickets in the order in which they are to be sent at [now]. Where more wait than can be answered in time, the
     * youngest goes first: the order of arrival would make every one of them late.
     */
    fun ordered(meanServiceTime: Double, limit: Int, now: Long): List<Ticket> {
        val congested = order == QueueOrder.ADAPTIVE && entries.size > limit * CONGESTED_SHARE
        val direction = if (congested) -1 else 1
        val ranked = entries.map { it to rankOf(it.ticket, meanServiceTime, now) }
        return ranked.sortedWith { (a, first), (b, second) ->
            val byRank = compareValuesBy(first, second, { it.late }, { it.priority })
            val byDueTime = direction * first.dueAt.compareTo(second.dueAt)
            when {
                byRank != 0 -> byRank
                byDueTime != 0 -> byDueTime
                else -> direction * a.sequence.compareTo(b.sequence)
            }
        }.map { it.first.ticket }
    }

    private fun rankOf(ticket: Ticket, meanServiceTime: Double, now: Long) =
        Rank(now + meanServiceTime * LIKELY_SERVICE_TIME_SHARE > ticket.dueAt, ticket.priority, ticket.dueAt)

    private companion object {
        /** Share of the usual time within which most requests are answered; with less left one is taken to be late. */
        const val LIKELY_SERVICE_TIME_SHARE = 0.9

        /** A queue that is fuller than this share of its room is served from its young end. */
        const val CONGESTED_SHARE = 0.5
    }
}
