/*
 * The rows of one feed as they are known here, to tell news from what is known, and to be passed on.
 */
package rhubarbspool.entry

/** Rows of one feed. */
internal class FeedRows {
    private class KnownRow(val row: TableRow, val readAt: Long)

    private val missingSince = HashMap<String, Long>()
    private val rows = LinkedHashMap<String, KnownRow>()

    /** Version of the table at which rows were last found missing; a first read counts as one. */
    private var removalVersion: Long = FIRST_READ_VERSION

    /** Version of the table up to which all rows are known; null before they were read. */
    var version: Long? = null
        private set

    /** Version of the newest row; the table's own version also grows with rows of other feeds. */
    var newestVersion: Long = 0
        private set

    /**
     * What is passed on at [now] to an instance whose newest row has version [known]; null when there is nothing. Rows
     * that went missing have no version of their own, so they only show in a complete page.
     */
    fun changesAfter(known: Long, now: Long): FeedPage? = version?.takeIf { it > known }?.let { current ->
        val complete = known < removalVersion
        val changed = rows.values.filter { complete || it.row.version > known }
        FeedPage(current, changed.map { it.row.copy(age = now - it.readAt) }, complete)
    }

    /** Takes in [page]; returns the rows that are news, with those that are missing from a complete page as removed. */
    fun merge(page: FeedPage, now: Long): List<TableRow> {
        val newRows = page.rows.filter { row -> rows[row.key]?.let { it.row.version < row.version } ?: true }
            .map { it.copy(afterOutage = it.afterOutage || page.afterOutage) }
        val missing = if (page.complete && page.version >= (version ?: 0)) findMissing(page, now) else emptyList()
        newRows.forEach { rows[it.key] = KnownRow(it, now - it.age) }
        missing.forEach { rows.remove(it.key) }
        if (missing.isNotEmpty()) removalVersion = page.version
        rows.values.removeAll { it.row.value == null && page.version - it.row.version > TOMBSTONE_VERSIONS }
        newestVersion = maxOf(newestVersion, page.rows.maxOfOrNull { it.version } ?: 0)
        version = maxOf(version ?: 0, page.version)
        return newRows + missing
    }

    /**
     * Known rows that are gone according to [page]. A read may be older than what is known, so a row that is newer than
     * all rows of the page is gone only if it stays missing.
     */
    private fun findMissing(page: FeedPage, now: Long): List<TableRow> {
        val present = page.rows.mapTo(HashSet()) { it.key }
        val newestRead = page.rows.maxOfOrNull { it.version } ?: 0
        val absent = rows.values.map { it.row }.filter { it.key !in present && it.value != null }
        missingSince.keys.retainAll(absent.mapTo(HashSet()) { it.key })
        val removed = absent.filter { row ->
            val since = missingSince.getOrPut(row.key) { now }
            row.version < newestRead || now - since >= STALE_READ_MILLISECONDS
        }
        return removed.map { TableRow(it.key, page.version, afterOutage = page.afterOutage) }
    }

    private companion object {
        /** Above the version of an instance that knows no row, and below that of any row. */
        const val FIRST_READ_VERSION = 1L

        /** Reads are at most so old. */
        const val STALE_READ_MILLISECONDS = 7_000L

        /** A removed row is remembered until no page that is older than its removal can be on its way. */
        const val TOMBSTONE_VERSIONS = 10_000L
    }
}
