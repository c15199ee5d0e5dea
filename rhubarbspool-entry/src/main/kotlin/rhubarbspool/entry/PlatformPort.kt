/*
 * Interfaces of the platform for the entry process. An adapter implements them, so that this module does not depend on
 * the platform's names and formats. All futures complete on the event loop.
 */
package rhubarbspool.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OrderResult
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.TrafficConfiguration
import java.util.concurrent.CompletableFuture

/** A set of rows of the platform's table whose changes an instance follows. */
enum class Feed {
    /** Configurations and evacuations. */
    OPERATOR,

    /** Entries of backend servers. */
    SERVERS,

    /** Rows that the instances write for each other. */
    SHARED,
}

/** One decoded row. */
sealed interface FeedItem {
    /** The configuration in force. */
    data class Configuration(val configuration: TrafficConfiguration) : FeedItem

    /** Whether [domain] is evacuated, so that it gets no new work. */
    data class Evacuation(val domain: FailureDomainName, val active: Boolean) : FeedItem

    /** The entry of [server]; null when it was removed or does not describe a usable server. */
    data class Server(val server: ServerName, val entry: BackendEntry?) : FeedItem

    /** A row that an instance wrote; [value] is null when it was removed. */
    data class Shared(val key: String, val version: Long, val value: String?) : FeedItem
}

/**
 * A row of the table; [value] is null when it was removed or can't be read.
 *
 * @property age milliseconds since an instance read it from the table.
 * @property afterOutage whether it was read shortly after an outage of the table.
 * @property fromCopy whether it is among the first rows read from a restored table; it may be older than what is known.
 */
@Serializable
data class TableRow(
    val key: String,
    val version: Long,
    val value: String? = null,
    val age: Long = 0,
    val afterOutage: Boolean = false,
    val fromCopy: Boolean = false,
)

/**
 * Rows of a feed up to [version].
 *
 * @property complete whether the page contains all rows of the feed and not only the changed ones.
 * @property afterOutage whether all rows were read shortly after an outage of the table, whatever their own flags say.
 * @property previousVersion the version up to which a receiver must know all changes before it gets this page.
 */
@Serializable
data class FeedPage(
    val version: Long,
    val rows: List<TableRow>,
    val complete: Boolean,
    val afterOutage: Boolean = false,
    @Transient val previousVersion: Long? = null,
)

/** Decodes rows of a feed. */
fun interface RowDecoder {
    /** Decodes [row] of [feed] at monotonic time [now]; null when its contents can't be used. */
    fun decode(feed: Feed, row: TableRow, now: Long): FeedItem?
}

/** Result of a conditional write; a write without a response fails its future. */
sealed interface WriteResult {
    data class Written(val version: Long) : WriteResult

    /** The row had another version; [current] is the row, or null when it does not exist, in [version] of the table. */
    data class Conflict(val current: TableRow?, val version: Long) : WriteResult
}

/** A [row], or null when it does not exist, as it was in [version] of the table. */
data class RowRead(val row: TableRow?, val version: Long)

/**
 * The platform's table. A call that was refused or got no response fails its future. All versions are [TableVersion]s.
 */
interface PlatformTable {
    /** How often the table was restored from a copy, as of its last response. */
    val epoch: Long

    /** All rows of [feed]. */
    fun scan(feed: Feed): CompletableFuture<FeedPage>

    /**
     * Rows of [feed] that changed after version [after]; waits up to [waitMilliseconds] until there are any. Null when
     * the table no longer has the history since that version.
     */
    fun follow(feed: Feed, after: Long, waitMilliseconds: Long): CompletableFuture<FeedPage?>

    /** Calls that are sent from now on use new connections, since those that are open may be silent for good. */
    fun renewConnections()

    /** The row [key] that belongs to no feed. */
    fun readUnfollowed(key: String): CompletableFuture<RowRead>

    /** Writes [value] to [key] if the row's version is [expected], 0 for no row; a null value removes the row. */
    fun write(key: String, followed: Boolean, expected: Long, value: String?): CompletableFuture<WriteResult>
}

/** The platform's side of an entry process; [readyPath] is the path of its readiness check. */
data class Platform(
    val table: PlatformTable,
    val decoder: RowDecoder,
    val orders: OwnershipOrders,
    val headers: HeaderNames,
    val readyPath: String,
)

/** Result of a grant or release at a server, with the handover text of the last holder. */
data class OrderAnswer(val result: OrderResult, val handover: String? = null)

/** Grants and releases of keys at servers. */
interface OwnershipOrders {
    /** Sends [order] to its owner and to no other incarnation; at [healthPath] a server reports its incarnation. */
    fun grant(order: OwnershipEffect.Grant, healthPath: String): CompletableFuture<OrderAnswer>

    /** Asks the owner in [order] to release a range. */
    fun release(order: OwnershipEffect.Release): CompletableFuture<OrderAnswer>
}
