/*
 * Messages between instances. Times are durations, since clocks of two machines are not compared.
 */
package rhubarbspool.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.dispatch.LoadReport
import rhubarbspool.dispatch.PoolRefusal
import rhubarbspool.dispatch.WaitMode

/** A pool: the servers of [service] in [domain], or the one [server] of a sharded service. */
@Serializable
internal data class PoolName(val service: String, val domain: String, val server: String = "")

/** Asks for a slot. */
@Serializable
internal data class SlotRequestMessage(
    val id: Long,
    val pool: PoolName,
    val priority: Int,
    val dueIn: Long,
    val deadlineIn: Long,
    val mode: WaitMode,
    val avoid: List<String> = emptyList(),
)

/** The answer to an ask; neither [server] nor [refusal] while the request waits. */
@Serializable
internal data class DecisionMessage(
    val id: Long,
    val server: String = "",
    val refusal: PoolRefusal? = null,
    val retryAfter: Long = 0,
)

/** How the permit of [id] ended. */
@Serializable
internal data class DoneMessage(
    val id: Long,
    val pool: PoolName,
    val outcome: CallOutcome,
    @SerialName("took") val durationMilliseconds: Long,
    val running: Int = -1,
    val waiting: Int = 0,
    val percent: Int = 0,
) {
    /** The server's load, if it told. */
    val load: LoadReport? get() = if (running < 0) null else LoadReport(running, waiting, percent)
}

/** Nobody waits for [id] any more. */
@Serializable
internal data class WithdrawMessage(val id: Long, val pool: PoolName)

/** Versions of the feeds that the sender has read, so that one that fell behind reads again. */
@Serializable
internal data class FeedVersions(val operator: Long, val servers: Long, val shared: Long) {
    /** The version of [feed]. */
    fun of(feed: Feed): Long = when (feed) {
        Feed.OPERATOR -> operator
        Feed.SERVERS -> servers
        Feed.SHARED -> shared
    }
}

/** Asks for all news of the platform's table from the versions in [known] on. */
@Serializable
internal data class SubscribeMessage(val known: FeedVersions)

/**
 * Rows of [feed]; [resigns] when another instance is to be asked, since the sender could not read the table
 * [sinceFailureMilliseconds] milliseconds before.
 */
@Serializable
internal data class RowsMessage(
    val feed: Feed? = null,
    val page: FeedPage? = null,
    val resigns: Boolean = false,
    @SerialName("troubledAgo") val sinceFailureMilliseconds: Long = 0,
)

/**
 * What the sender saw of a sharded service since its last report.
 *
 * @property ranges ranges with requests, and [counts] of their requests.
 * @property servers servers that answered, with [answers] and the [milliseconds] that these took.
 */
@Serializable
internal data class LoadMessage(
    val service: String,
    val ranges: List<Int>,
    val counts: List<Int>,
    val servers: List<String>,
    val answers: List<Int>,
    val milliseconds: List<Long>,
)

/** One message; exactly one of the first fields is set, news may come with any. */
@Serializable
internal data class PeerMessage(
    val ask: SlotRequestMessage? = null,
    val decision: DecisionMessage? = null,
    val done: DoneMessage? = null,
    val withdraw: WithdrawMessage? = null,
    val news: FeedVersions? = null,
    val subscribe: SubscribeMessage? = null,
    val rows: RowsMessage? = null,
    val load: LoadMessage? = null,
    val hello: String = "",
    val ping: Boolean = false,
)
