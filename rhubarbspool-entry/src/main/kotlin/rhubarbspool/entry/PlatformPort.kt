/*
 * The platform as the entry process sees it. The adapter implements these interfaces; nothing here knows how the
 * platform spells anything. All futures complete on the event loop.
 */
package rhubarbspool.entry

import kotlinx.serialization.Serializable
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OrderResult
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.TrafficConfiguration
import java.util.concurrent.CompletableFuture

/** A stream of rows that an instance follows. */
enum class Feed {
    /** Configurations and evacuations. */
    OPERATOR,

    /** Entries of backend servers. */
    SERVERS,

    /** Rows that the instances share among themselves. */
    SHARED,
}

/** One decoded row. */
sealed interface FeedItem {
    /** The configuration in force. */
    data class Configuration(val configuration: TrafficConfiguration) : FeedItem

    /** Whether [domain] is to get no new work. */
    data class Evacuation(val domain: FailureDomainName, val active: Boolean) : FeedItem

    /** The entry of [server]; null when it has gone or names no usable server. */
    data class Server(val server: ServerName, val entry: BackendEntry?) : FeedItem

    /** A row of the instances' own; [value] is null when it was removed. */
    data class Shared(val key: String, val version: Long, val value: String?) : FeedItem
}

/**
 * A row as the table holds it; [value] is null when it was removed or can't be read.
 *
 * @property age milliseconds since an instance read it from the table.
 * @property afterOutage whether that was shortly after the table had failed.
 */
@Serializable
data class TableRow(
    val key: String,
    val version: Long,
    val value: String? = null,
    val age: Long = 0,
    val afterOutage: Boolean = false,
)

/**
 * Rows of a feed up to [version].
 *
 * @property complete whether they are all rows and not only the changed ones.
 * @property afterOutage whether they were read shortly after the table had failed, also where the rows do not say so.
 */
@Serializable
data class FeedPage(
    val version: Long,
    val rows: List<TableRow>,
    val complete: Boolean,
    val afterOutage: Boolean = false,
)

/** Reads rows of a feed. */
fun interface RowDecoder {
    /** What [row] of [feed] says at monotonic time [now]; null when it says nothing that can be used. */
    fun decode(feed: Feed, row: TableRow, now: Long): FeedItem?
}

/** How a conditional write ended; a write without an answer fails its future. */
sealed interface WriteResult {
    data class Written(val version: Long) : WriteResult

    /** Another version was found; [current] is the row, if there is one. */
    data class Conflict(val current: TableRow?) : WriteResult
}

/** The platform's table. A call that got no answer, or was refused, fails its future. */
interface PlatformTable {
    /** All rows of [feed]. */
    fun scan(feed: Feed): CompletableFuture<FeedPage>

    /** Rows of [feed] that changed after version [after], as soon as there are any; null when that is too long ago. */
    fun follow(feed: Feed, after: Long, waitMilliseconds: Long): CompletableFuture<FeedPage?>

    /** The row [key] of those that are not followed; null when there is none. */
    fun readUnfollowed(key: String): CompletableFuture<TableRow?>

    /** Writes [value] to [key], null to remove it, if its version is [expected]; 0 means that there is no row. */
    fun write(key: String, followed: Boolean, expected: Long, value: String?): CompletableFuture<WriteResult>
}

/** The platform's side of an entry process; [readyPath] is where it asks whether the instance takes callers. */
data class Platform(
    val table: PlatformTable,
    val decoder: RowDecoder,
    val orders: OwnershipOrders,
    val headers: HeaderNames,
    val readyPath: String,
)

/** Result of an order to a server, with what the last holder hands over. */
data class OrderAnswer(val result: OrderResult, val handover: String? = null)

/** Orders to servers about the keys that they hold. */
interface OwnershipOrders {
    /** Sends [order] to its owner and to no other life; [healthPath] is where a server says who it is. */
    fun grant(order: OwnershipEffect.Grant, ranges: Int, healthPath: String): CompletableFuture<OrderAnswer>

    /** Asks its owner to release a range. */
    fun release(order: OwnershipEffect.Release, ranges: Int): CompletableFuture<OrderAnswer>
}
