/*
 * An in-memory table for tests with conditional transactions over row versions.
 */
package rhubarbspool.control

import rhubarbspool.table.CommitResult
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow
import rhubarbspool.table.isShared

/** Stores rows in memory. */
internal class FakeTable {
    private val rows = sortedMapOf<String, VersionedRow>()

    var revision = 0L
        private set
    var commits = 0
        private set

    fun commit(transaction: Transaction): CommitResult {
        val holds = transaction.conditions.all { (rows[it.key]?.version ?: 0) == it.version }
        if (!holds) {
            val keys = transaction.conditions.map { it.key } + transaction.writes.map { it.key }
            return CommitResult.Conflict(keys.distinct().mapNotNull { rows[it] })
        }
        revision++
        commits++
        val written = transaction.writes.map { VersionedRow(it.key, revision, transaction.writeId, it.body) }
        written.forEach { rows[it.key] = it }
        return CommitResult.Committed(written)
    }

    fun scan(after: Long): List<VersionedRow> =
        rows.values.filter { it.version > after && RowKeys.isShared(it.key) }

    fun row(key: String): VersionedRow? = rows[key]

    fun version(key: String): Long = rows[key]?.version ?: 0
}
