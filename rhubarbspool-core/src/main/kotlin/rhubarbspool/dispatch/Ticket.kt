/*
 * Requests of instances to a pool of servers, the decisions of the pool, and the results of the calls that it permits.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName

/** How long a request may wait in a pool. */
enum class WaitMode {
    /** While it is expected to be answered within its target. */
    IN_TIME,

    /** Not at all: it is refused unless a slot is free. */
    FREE_SLOT,

    /** While it is expected to be answered before its deadline. */
    UNTIL_DEADLINE,
}

/**
 * A request for a slot.
 *
 * @property owner instance that submitted the ticket; unique together with [id].
 * @property priority priority of the route; 0 is the highest.
 * @property dueAt monotonic time until which the response has its full value.
 * @property deadlineAt monotonic time after which the response is useless.
 * @property avoid servers that were already tried.
 */
data class Ticket(
    val owner: String,
    val id: Long,
    val priority: Int,
    val dueAt: Long,
    val deadlineAt: Long,
    val mode: WaitMode,
    val avoid: Set<ServerName> = emptySet(),
)

/** Why a pool refused a ticket. */
enum class PoolRefusal {
    /** No server of the pool is available. */
    NO_SERVER,

    /** The response would come too late. */
    OVERLOADED,
}

/** How a call to a server ended, as its pool records it. */
enum class CallOutcome {
    /** The server responded. */
    ANSWERED,

    /** The server responded with a server error. */
    FAULTY,

    /** The server rejected the request because it had no capacity. */
    SHED,

    /** The server responded that it is a different server, or that it does not hold the key. */
    MISDIRECTED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection ended, or was closed by the router, before the response was complete. */
    BROKEN,

    /** Nothing was sent, or the caller disconnected. */
    CANCELLED,
}

/**
 * Load that a server reports.
 *
 * @property percent service time on its machine relative to normal; 100 is normal, larger is slower.
 */
data class LoadReport(val running: Int, val waiting: Int, val percent: Int)

/**
 * Result of a call that took [durationMilliseconds].
 *
 * @property load load that the server reported in its response.
 * @property limit requests per second that the server takes from all instances together, if it named a limit.
 */
data class CallResult(
    val outcome: CallOutcome,
    val durationMilliseconds: Long,
    val load: LoadReport? = null,
    val limit: Double? = null,
)

/** Decision of a pool about one ticket. */
sealed interface PoolDecision {
    val ticket: Ticket

    /** The request of [ticket] may be sent to [server] now. */
    data class Permit(override val ticket: Ticket, val server: ServerName) : PoolDecision

    /** [ticket] is refused; its caller may retry after [retryAfterMilliseconds]. */
    data class Refuse(
        override val ticket: Ticket,
        val reason: PoolRefusal,
        val retryAfterMilliseconds: Long,
    ) : PoolDecision
}
