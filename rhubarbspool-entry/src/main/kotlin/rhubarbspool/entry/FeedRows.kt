/*
 * Known rows of one feed: detects which rows of a page are new, and provides changes for other instances. A table that
 * was restored from a copy lacks what was written since, until its writers write it again.
 */
package rhubarbspool.entry

/** Known rows of one feed; with [keepsLostRows], rows that a restored table lacks are kept for some time. */
internal class FeedRows(private val keepsLostRows: Boolean = false) {
    private class KnownRow(val row: TableRow, val readAt: Long)

    private val missingSince = HashMap<String, Long>()
    private val rows = LinkedHashMap<String, KnownRow>()

    /** Version of the table at which rows were last found missing; initially that of the first read. */
    private var removalVersion: Long = FIRST_READ_VERSION

    /** Version of the table up to which all rows are known; null before the first read. */
    var version: Long? = null
        private set

    /** Version of the last change: of the newest row, or of the table when rows were last found missing. */
    val lastChangeVersion: Long get() = maxOf(newestVersion, removalVersion)

    /** Version of the newest row; the table's own version also grows with rows of other feeds. */
    var newestVersion: Long = 0
        private set

    /**
     * Changes at [now] for an instance whose newest row has version [known]; null when there are none. Rows that were
     * found missing have no version of their own, so their removal is only visible in a complete page.
     */
    fun changesAfter(known: Long, now: Long): FeedPage? = version?.takeIf { it > known }?.let { current ->
        val complete = known < removalVersion
        val changed = rows.values.filter { complete || it.row.version > known }
        FeedPage(current, changed.map { it.row.copy(age = now - it.readAt) }, complete)
    }

    /** Whether the table had the row [key], with the known value, when it was last read. */
    fun isStored(key: String): Boolean =
        rows[key]?.let { TableVersion.epoch(it.row.version) == TableVersion.epoch(version ?: 0) } ?: false

    /**
     * Merges [page]; returns its new rows, and those that are missing from a complete page as removed rows. Pages from
     * before the table was restored are ignored, and changes from after that until a complete page was read.
     */
    fun merge(page: FeedPage, now: Long): List<TableRow> {
        val epoch = TableVersion.epoch(page.version)
        val knownEpoch = TableVersion.epoch(version ?: page.version)
        if (epoch < knownEpoch || (epoch > knownEpoch && !page.complete)) return emptyList()
        val isRestored = epoch > knownEpoch
        val newRows = findNew(page).map { it.copy(fromCopy = isRestored) }
        val missing = findMissing(page.copy(afterOutage = page.afterOutage || isRestored), now)
        newRows.forEach { rows[it.key] = KnownRow(it.copy(fromCopy = false), now - it.age) }
        missing.forEach { rows.remove(it.key) }
        if (missing.isNotEmpty() || isRestored) removalVersion = page.version
        rows.values.removeAll { it.row.value == null && page.version - it.row.version > TOMBSTONE_VERSIONS }
        newestVersion = maxOf(newestVersion, page.rows.maxOfOrNull { it.version } ?: 0)
        version = maxOf(version ?: 0, page.version)
        return newRows + missing
    }

    private fun findNew(page: FeedPage): List<TableRow> =
        page.rows.filter { row -> rows[row.key]?.let { it.row.version < row.version } ?: true }
            .map { it.copy(afterOutage = it.afterOutage || page.afterOutage) }

    /**
     * Known rows that were removed according to [page], if it is complete and not older than the last one. A read may
     * be stale, so a row that is newer than all rows of the page counts as removed only if it is missing for
     * [STALE_READ_MILLISECONDS]. One that a restored table lost may be kept until its writer has had the time to write
     * it again.
     */
    private fun findMissing(page: FeedPage, now: Long): List<TableRow> {
        if (!page.complete || page.version < (version ?: 0)) return emptyList()
        val present = page.rows.mapTo(HashSet()) { it.key }
        val newestRead = page.rows.maxOfOrNull { it.version } ?: 0
        val absent = rows.values.map { it.row }.filter { it.key !in present && it.value != null }
        missingSince.keys.retainAll(absent.mapTo(HashSet()) { it.key })
        val removed = absent.filter { row ->
            val since = missingSince.getOrPut(row.key) { now }
            if (TableVersion.epoch(row.version) == TableVersion.epoch(page.version)) {
                row.version < newestRead || now - since >= STALE_READ_MILLISECONDS
            } else {
                !keepsLostRows || now - since >= LOST_ROW_MILLISECONDS
            }
        }
        return removed.map { TableRow(it.key, page.version, afterOutage = page.afterOutage) }
    }

    private companion object {
        /** Above the known version of an instance without rows, and not above the version of any row. */
        const val FIRST_READ_VERSION = 1L

        /** Upper bound on the staleness of a read. */
        const val STALE_READ_MILLISECONDS = 7_000L

        /** Rows that a restored table lost are written again within about two seconds; allows for several attempts. */
        const val LOST_ROW_MILLISECONDS = 5_000L

        /** A removed row is kept until no page from before its removal can still be in flight. */
        const val TOMBSTONE_VERSIONS = 10_000L
    }
}
