/*
 * What the coordinator asks the edge to do, and how such orders end.
 */
package rhubarbspool.ownership

/** What the edge is asked to do. */
sealed interface OwnershipEffect {
    /** Grant [range] to [owner] for [holdMilliseconds]; the answer goes to [OwnershipCoordinator.onGrant]. */
    data class Grant(
        val range: Int,
        val owner: Owner,
        val fence: Long,
        val holdMilliseconds: Long,
        val handover: String?,
    ) : OwnershipEffect

    /** Take [range] back from [owner]; the answer goes to [OwnershipCoordinator.onRelease]. */
    data class Release(val range: Int, val owner: Owner, val fence: Long) : OwnershipEffect

    /** Write [document]; the answer goes to [OwnershipCoordinator.onWritten]. */
    data class Write(val document: OwnershipDocument) : OwnershipEffect
}

/** How an order to a server ended. */
enum class OrderResult { ACCEPTED, REFUSED, UNANSWERED, NOT_SENT }
