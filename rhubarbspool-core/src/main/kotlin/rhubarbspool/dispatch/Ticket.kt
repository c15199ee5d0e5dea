/*
 * What an instance asks of a pool of servers, and what becomes of it.
 */
package rhubarbspool.dispatch

import rhubarbspool.model.ServerName

/** How long a request may wait in a pool. */
enum class WaitMode {
    /** Only while it is expected to be answered within its target. */
    IN_TIME,

    /** Not at all: a slot must be free. */
    FREE_SLOT,

    /** As long as it is expected to be answered before its deadline. */
    UNTIL_DEADLINE,
}

/**
 * A request that wants a slot.
 *
 * @property owner who asked; with [id] it names the ticket.
 * @property priority rank of the route; 0 is the most urgent.
 * @property dueAt monotonic time until which the answer has its full value.
 * @property deadlineAt monotonic time after which the answer is worth nothing.
 * @property avoid servers that were tried already.
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
    /** No server of the pool takes work. */
    NO_SERVER,

    /** The answer would come too late. */
    OVERLOADED,
}

/** How a call to a server ended, as far as its pool is concerned. */
enum class CallOutcome {
    /** The server answered. */
    ANSWERED,

    /** The server answered with a fault of its own. */
    FAULTY,

    /** The server refused: it had no room. */
    SHED,

    /** The server said that it is not the one, or does not hold the key. */
    MISDIRECTED,

    /** No connection. */
    UNREACHABLE,

    /** The connection ended, or was given up, before the answer was whole. */
    BROKEN,

    /** Nothing was sent, or the caller left. */
    CANCELLED,
}

/**
 * What a server says of its load.
 *
 * @property percent how long work takes on its machine; 100 is as usual.
 */
data class LoadReport(val running: Int, val waiting: Int, val percent: Int)

/** The end of a call that took [durationMilliseconds] milliseconds; [load] is what the server said with its answer. */
data class CallResult(val outcome: CallOutcome, val durationMilliseconds: Long, val load: LoadReport? = null)

/** What a pool decided. */
sealed interface PoolDecision {
    val ticket: Ticket

    /** [ticket] may be sent to [server] now. */
    data class Permit(override val ticket: Ticket, val server: ServerName) : PoolDecision

    /** [ticket] was not permitted; its caller may come back after [retryAfterMilliseconds]. */
    data class Refuse(
        override val ticket: Ticket,
        val reason: PoolRefusal,
        val retryAfterMilliseconds: Long,
    ) : PoolDecision
}
