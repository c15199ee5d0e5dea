/*
 * Queue of the requests that wait in a pool, and its dispatch order.
 */
package rhubarbspool.dispatch

/** Dispatch order of requests that can still be answered in time. */
enum class QueueOrder {
    /** Earliest due time first. */
    DUE_TIME,

    /** Earliest due time first, but latest due time first while the queue is congested. */
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

    /** Waiting tickets, in order of submission. */
    val tickets: List<Ticket> get() = entries.map { it.ticket }

    /** The ticket that was added last. The queue must not be empty. */
    val newest: Ticket get() = entries.maxBy { it.sequence }.ticket

    /** Enqueues [ticket]. */
    fun add(ticket: Ticket) {
        entries += Entry(ticket, ++sequence)
    }

    /** Removes all tickets for which [matches] is true; returns whether there were any. */
    fun remove(matches: (Ticket) -> Boolean): Boolean = entries.removeAll { matches(it.ticket) }

    /** Number of waiting tickets that rank before or equal to [ticket] at [now], given the [meanServiceTime]. */
    fun countAhead(ticket: Ticket, meanServiceTime: Double, now: Long): Int {
        val rank = rankOf(ticket, meanServiceTime, now)
        return entries.count { rankOf(it.ticket, meanServiceTime, now).precedesOrTies(rank) }
    }

    /**
     * Tickets in dispatch order at [now]. If the queue is congested for its [limit], the youngest goes first: the order
     * of arrival would make every one of them late.
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
        /** Share of the mean service time in which most requests are answered; with less time left, one is late. */
        const val LIKELY_SERVICE_TIME_SHARE = 0.9

        /** A queue that is fuller than this share of its limit is congested. */
        const val CONGESTED_SHARE = 0.5
    }
}
