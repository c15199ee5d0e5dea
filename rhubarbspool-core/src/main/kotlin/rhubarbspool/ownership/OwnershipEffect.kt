/*
 * Effects that the coordinator requests from its runner, and results of calls to servers.
 */
package rhubarbspool.ownership

/** An effect for the runner of the coordinator to execute. */
sealed interface OwnershipEffect {
    /** Grants [keys] to [owner] for [holdMilliseconds]; the result goes to [OwnershipCoordinator.onGrant]. */
    data class Grant(
        val keys: KeyRange,
        val owner: Owner,
        val fence: Long,
        val holdMilliseconds: Long,
        val handover: String?,
    ) : OwnershipEffect

    /** Asks [owner] to release [keys]; the result goes to [OwnershipCoordinator.onRelease]. */
    data class Release(val keys: KeyRange, val owner: Owner, val fence: Long) : OwnershipEffect

    /** Writes [document]; [OwnershipCoordinator.onWritten] is called when it is written. */
    data class Write(val document: OwnershipDocument) : OwnershipEffect
}

/** Result of a grant or release call to a server. */
enum class OrderResult { ACCEPTED, REFUSED, UNANSWERED, NOT_SENT }
