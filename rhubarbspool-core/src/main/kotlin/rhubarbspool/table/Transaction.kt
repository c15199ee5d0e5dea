/*
 * Transactions on the platform's table service, conditional on the versions of rows.
 */
package rhubarbspool.table

/**
 * One version of a row in the table.
 *
 * @property version commit number of the row's last write; increases across the whole table.
 * @property writeId ID of the write that created this version.
 * @property body null for a deleted row.
 */
data class VersionedRow(val key: String, val version: Long, val writeId: String, val body: RowBody?)

/** Requires that the row under [key] has [version]; 0 requires that it never existed. */
data class Condition(val key: String, val version: Long)

/** Puts [body] under [key], or deletes the row when null; the table drops the row after [expireAfterSeconds]. */
data class Write(val key: String, val body: RowBody?, val expireAfterSeconds: Long? = null)

/** Writes that take effect together, or not at all when a condition fails. */
data class Transaction(val writeId: String, val conditions: List<Condition>, val writes: List<Write>)

/** Result of a transaction. */
sealed interface CommitResult {
    /** The writes took effect; [rows] are the new versions. */
    data class Committed(val rows: List<VersionedRow>) : CommitResult

    /** A condition failed; [rows] are the current versions of the rows that the transaction named. */
    data class Conflict(val rows: List<VersionedRow>) : CommitResult

    /** No response: the writes may have taken effect, may still do so, or never will. */
    data object Unknown : CommitResult
}

/**
 * Detects a conflict that an earlier attempt of [transaction] caused whose response was lost: if every row that it
 * writes has its write ID, the transaction is committed.
 */
fun CommitResult.resolve(transaction: Transaction): CommitResult = when (this) {
    is CommitResult.Conflict -> {
        val currentRows = rows.associateBy { it.key }
        val committedEarlier = transaction.writes.all { currentRows[it.key]?.writeId == transaction.writeId }
        if (committedEarlier) CommitResult.Committed(transaction.writes.mapNotNull { currentRows[it.key] }) else this
    }

    else -> this
}
