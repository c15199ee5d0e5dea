/*
 * Messages between instances. Times are durations in milliseconds, since the clocks of two machines may differ.
 */
package rhubarbspool.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.dispatch.LoadReport
import rhubarbspool.dispatch.PoolRefusal
import rhubarbspool.dispatch.WaitMode
import rhubarbspool.model.ServerName
import rhubarbspool.traffic.LeavingServer

/** Stands for the limit of a server that names none. */
internal const val NO_LIMIT = -1.0

/** A pool: the servers of [service] in [domain], or the one [server] of a sharded service. */
@Serializable
internal data class PoolName(val service: String, val domain: String, val server: String = "")

/** A limit that [server] named [namedAgo] milliseconds ago. */
@Serializable
internal data class LimitMessage(val server: String, val requestsPerSecond: Double, val namedAgo: Long)

/** The incarnation [bornWall] of [server] said [announcedAgo] milliseconds ago that it leaves. */
@Serializable
internal data class LeavingMessage(val server: String, val bornWall: Long, val announcedAgo: Long) {
    /** What is known from the message at [now]. */
    fun toServer(now: Long) = LeavingServer(ServerName(server), bornWall, now - announcedAgo)
}

/**
 * Requests a slot of [pool]; [limits] and [leaving] hold what the asker knows of limits that servers of the pool have
 * named, and of those that leave.
 */
@Serializable
internal data class SlotRequestMessage(
    val id: Long,
    val pool: PoolName,
    val priority: Int,
    val dueIn: Long,
    val deadlineIn: Long,
    val mode: WaitMode,
    val avoid: List<String> = emptyList(),
    val limits: List<LimitMessage> = emptyList(),
    val leaving: List<LeavingMessage> = emptyList(),
)

/** Decision about a slot request; neither [server] nor [refusal] is set while the request is queued. */
@Serializable
internal data class DecisionMessage(
    val id: Long,
    val server: String = "",
    val refusal: PoolRefusal? = null,
    val retryAfter: Long = 0,
)

/** Result of the call that the permit of slot request [id] allowed. */
@Serializable
internal data class DoneMessage(
    val id: Long,
    val pool: PoolName,
    val outcome: CallOutcome,
    @SerialName("took") val durationMilliseconds: Long,
    val running: Int = -1,
    val waiting: Int = 0,
    val percent: Int = 0,
    @SerialName("limit") private val encodedLimit: Double = NO_LIMIT,
) {
    /** The limit that the server named, in requests per second, if any. */
    val limit: Double? get() = encodedLimit.takeIf { it != NO_LIMIT }

    /** The load that the server reported, if any. */
    val load: LoadReport? get() = if (running < 0) null else LoadReport(running, waiting, percent)
}

/** Cancels the slot request [id]. */
@Serializable
internal data class WithdrawMessage(val id: Long, val pool: PoolName)

/** Newest versions of the feeds that the sender has read, so that a receiver that is behind reads again. */
@Serializable
internal data class FeedVersions(val operator: Long, val servers: Long, val shared: Long) {
    /** The version of [feed]. */
    fun of(feed: Feed): Long = when (feed) {
        Feed.OPERATOR -> operator
        Feed.SERVERS -> servers
        Feed.SHARED -> shared
    }
}

/**
 * Subscribes to all rows of the platform's table that are newer than the versions in [known]; [acceptsPacked] if the
 * sender can read compressed rows.
 */
@Serializable
internal data class SubscribeMessage(val known: FeedVersions, val acceptsPacked: Boolean = false)

/**
 * Rows of [feed]. With [resigns], the receiver must subscribe to another instance, since the sender failed to read the
 * table [sinceFailureMilliseconds] ago.
 */
@Serializable
internal data class RowsMessage(
    val feed: Feed? = null,
    val page: FeedPage? = null,
    val resigns: Boolean = false,
    @SerialName("troubledAgo") val sinceFailureMilliseconds: Long = 0,
)

/**
 * Load of a sharded service at the sender since its last report.
 *
 * @property keys keys with requests; [counts] holds the number of requests of each.
 * @property servers servers that responded; [answers] holds the number of responses of each, and [milliseconds] their
 * total duration, and [limits] the limit that each named last, or [NO_LIMIT].
 */
@Serializable
internal data class LoadMessage(
    val service: String,
    val keys: List<Int>,
    val counts: List<Int>,
    val servers: List<String>,
    val answers: List<Int>,
    val milliseconds: List<Long>,
    val limits: List<Double> = emptyList(),
)

/** One message; at most one of the requests, decisions and reports is set, and [news] may be added to any message. */
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
    val packedRows: PackedRows? = null,
    val leaving: List<LeavingMessage> = emptyList(),
) {
    /** Whether the message asks for a response without a request, or has nothing that this process knows. */
    val isSignOfLife: Boolean get() = ping || news != null || this == PeerMessage()
}
