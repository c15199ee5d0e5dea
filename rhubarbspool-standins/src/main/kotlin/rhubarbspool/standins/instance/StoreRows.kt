/*
 * Rows of the stand-in store. A backup of them can be restored: rows and version are then those of the backup, versions
 * are given out again, and the era is a new one.
 */
package rhubarbspool.standins.instance

import java.util.TreeMap

/** Key of a row. */
internal data class RowKey(val table: String, val key: String) : Comparable<RowKey> {
    override fun compareTo(other: RowKey): Int = compareValuesBy(this, other, RowKey::table, RowKey::key)
}

/** A row with its Base64 [value]; null for one that was removed. */
internal data class StoredRow(val value: String?, val version: Long)

/** Rows and version at one moment. */
class StoreBackup internal constructor(internal val rows: Map<RowKey, StoredRow>, internal val version: Long)

/** Rows in memory; not thread-safe. */
internal class StoreRows {
    private val rows = TreeMap<RowKey, StoredRow>()

    /** Version of the newest change. */
    var version = 0L
        private set

    /** Number of restorations so far, plus one. */
    var era = 1
        private set

    operator fun get(key: RowKey): StoredRow? = rows[key]

    /** Applies [changes], whose null values remove rows, as one version. */
    fun write(changes: Map<RowKey, String?>) {
        version++
        changes.forEach { (key, value) -> rows[key] = StoredRow(value, version) }
    }

    /** Rows of [table] for which [matches] is true, in ascending order of their keys. */
    fun select(table: String, matches: (RowKey, StoredRow) -> Boolean): Map<RowKey, StoredRow> =
        rows.filter { (key, row) -> key.table == table && matches(key, row) }

    fun backup() = StoreBackup(rows.toMap(), version)

    fun restore(backup: StoreBackup) {
        rows.clear()
        rows.putAll(backup.rows)
        version = backup.version
        era++
    }
}
