/*
 * Stand-in for the platform's table service: rows with versions, conditional transactions, and fault
 * injection. Kept in memory; thread-safe.
 */
package rhubarbspool.standins

import kotlinx.serialization.Serializable
import rhubarbspool.edge.RowMessage
import rhubarbspool.edge.RowsMessage
import rhubarbspool.edge.TransactionMessage
import java.util.TreeMap

/**
 * Injected faults of the platform's services.
 *
 * @property outage no request is answered and none takes effect.
 * @property delayMilliseconds delay added to every response.
 * @property loseRepliesFraction share of transactions that take effect but whose response is lost.
 */
@Serializable
data class PlatformFaults(
    val outage: Boolean = false,
    val delayMilliseconds: Long = 0,
    val loseRepliesFraction: Double = 0.0,
)

/** Calls that the stand-in has served. */
@Serializable
data class PlatformCounts(val reads: Long, val transactions: Long, val revision: Long, val rows: Int)

/** Result of a transaction: the rows that it wrote if [committed], else the present rows under its keys. */
data class TransactionOutcome(val committed: Boolean, val answer: RowsMessage)

/** Versioned rows; each committed transaction gets the next revision. */
class TableStandIn {
    private data class Stored(val row: RowMessage, val expiresAt: Long?)

    private val rows = TreeMap<String, Stored>()
    private val byVersion = TreeMap<Long, MutableSet<String>>()
    private var revision = 0L
    private var reads = 0L
    private var transactions = 0L

    /** Applies [transaction] at wall-clock time [wall] in milliseconds if all its conditions hold. */
    @Synchronized
    fun commit(transaction: TransactionMessage, wall: Long): TransactionOutcome {
        transactions++
        val holds = transaction.conditions.all { (live(it.key, wall)?.version ?: 0) == it.version }
        if (!holds) {
            val keys = transaction.conditions.map { it.key } + transaction.writes.map { it.key }
            return TransactionOutcome(false, RowsMessage(revision, keys.distinct().mapNotNull { live(it, wall) }))
        }
        revision++
        val written = transaction.writes.map { write ->
            val row = RowMessage(write.key, revision, transaction.writeId, write.body)
            store(Stored(row, write.expireAfterSeconds?.let { wall + it * MILLISECONDS_PER_SECOND }))
            row
        }
        return TransactionOutcome(true, RowsMessage(revision, written))
    }

    /** Rows under [prefixes] with versions after [after], oldest first, at most [limit]. */
    @Synchronized
    fun scan(prefixes: List<String>, after: Long, limit: Int): RowsMessage {
        reads++
        val found = byVersion.tailMap(after, false).values.asSequence().flatten()
            .filter { key -> prefixes.any { key.startsWith(it) } }
            .mapNotNull { rows[it]?.row }.take(limit + 1).toList()
        val more = found.size > limit
        val page = found.take(limit)
        return RowsMessage(if (more) page.last().version - 1 else revision, page, more)
    }

    /** The newest [count] rows under [prefix], newest first. */
    @Synchronized
    fun newest(prefix: String, count: Int): RowsMessage {
        reads++
        val found = byVersion.descendingMap().values.asSequence().flatten()
            .filter { it.startsWith(prefix) }.mapNotNull { rows[it]?.row }.take(count).toList()
        return RowsMessage(revision, found)
    }

    /** The rows under [keys] that have not expired at wall-clock time [wall]. */
    @Synchronized
    fun read(keys: List<String>, wall: Long): RowsMessage {
        reads++
        return RowsMessage(revision, keys.mapNotNull { live(it, wall) })
    }

    /** Calls served so far. */
    @Synchronized
    fun counts(): PlatformCounts = PlatformCounts(reads, transactions, revision, rows.size)

    private fun live(key: String, wall: Long): RowMessage? {
        val stored = rows[key]
        val expired = stored?.expiresAt != null && stored.expiresAt <= wall
        if (expired) remove(key)
        return stored?.row?.takeUnless { expired }
    }

    private fun store(stored: Stored) {
        remove(stored.row.key)
        rows[stored.row.key] = stored
        byVersion.getOrPut(stored.row.version) { sortedSetOf() } += stored.row.key
    }

    private fun remove(key: String) {
        val old = rows.remove(key) ?: return
        val keys = byVersion.getValue(old.row.version)
        keys -= key
        if (keys.isEmpty()) byVersion.remove(old.row.version)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
