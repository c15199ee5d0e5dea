/*
 * The instance's view of the platform: configuration, evacuated domains, servers, other instances and owners of keys.
 */
package rhubarbspool.entry

import rhubarbspool.traffic.LeavingServer
import rhubarbspool.traffic.RouteIndex
import rhubarbspool.traffic.ServerDirectory
import rhubarbspool.traffic.TrafficConfiguration

/** State that is decoded from the rows of all feeds; changed on the event loop only. */
internal class EntryState(private val decoder: RowDecoder, private val log: DecisionLog) {
    private val feeds = Feed.entries.associateWith { FeedRows(keepsLostRows = it != Feed.SERVERS) }

    /** Backend servers. */
    val directory = ServerDirectory()

    /** Instances and owners of keys. */
    val shared = SharedRows(log)

    /** The configuration in force; null until one was read. */
    var configuration: TrafficConfiguration? = null
        private set

    /** Routes of the configuration in force. */
    var routes = RouteIndex(emptyList())
        private set

    /** Number of pages that were merged. */
    var changes: Long = 0
        private set

    /** The rows of [feed]. */
    fun rows(feed: Feed): FeedRows = feeds.getValue(feed)

    /** Versions of the newest rows of all feeds. */
    fun feedVersions() = FeedVersions(
        rows(Feed.OPERATOR).newestVersion,
        rows(Feed.SERVERS).newestVersion,
        rows(Feed.SHARED).newestVersion,
    )

    /**
     * Merges [page] of [feed] at [now]; returns what is to be passed on to instances that knew the same rows before,
     * null if there are no new rows. Rows that were found missing can be told only by the whole page.
     */
    fun merge(feed: Feed, page: FeedPage, now: Long): FeedPage? {
        val rows = rows(feed)
        val previous = rows.version
        val lastChange = rows.lastChangeVersion
        val newRows = rows.merge(page, now)
        val keys = page.rows.mapTo(HashSet()) { it.key }
        val isSameEpoch = previous != null && TableVersion.epoch(previous) == TableVersion.epoch(page.version)
        val isDelta = isSameEpoch && newRows.all { it.key in keys }
        newRows.forEach { row -> mergeGuarded(feed, row, now) }
        changes++
        val news = if (isDelta) page.copy(rows = newRows, complete = false) else page
        return news.copy(previousVersion = lastChange).takeIf { newRows.isNotEmpty() }
    }

    /** A row that can't be merged must not keep out the others of its page, which count as known already. */
    @Suppress("TooGenericExceptionCaught")
    private fun mergeGuarded(feed: Feed, row: TableRow, now: Long) = try {
        decoder.decode(feed, row, now)?.let { merge(it, row, now - row.age) }
    } catch (failure: Throwable) {
        log.fault("cannot merge a row", "feed" to feed, "row" to row.key, "version" to row.version, "cause" to failure)
    }

    /**
     * Removes servers whose entries have been missing for too long at [now], and adds those whose entries were held
     * back after the table was restored; returns whether there were any.
     */
    fun expire(now: Long): Boolean {
        val changed = directory.expire(now)
        changed.forEach { log.belief("server", "server" to it, "state" to (directory[it]?.state ?: "lapsed")) }
        return changed.isNotEmpty()
    }

    /** A server leaves, as [source] says; the server itself, or another instance. */
    fun recordLeaving(server: LeavingServer, source: String): Boolean {
        val isNews = directory.announceLeaving(server)
        if (isNews) log.belief("server", "server" to server.server, "state" to "leaving", "source" to source)
        return isNews
    }

    /** Merges [item], the contents of [row], which an instance read from the table at [readAt]. */
    private fun merge(item: FeedItem, row: TableRow, readAt: Long) = when (item) {
        is FeedItem.Configuration -> applyConfiguration(item.configuration)
        is FeedItem.Evacuation -> applyEvacuation(item, readAt)
        is FeedItem.Server -> applyServer(item, row, readAt)
        is FeedItem.Shared -> shared.merge(item)
    }

    /** Ignores configurations that are older than the current one, since they may arrive in any order. */
    private fun applyConfiguration(next: TrafficConfiguration) {
        val current = configuration
        if (current != null && next.version <= current.version) return
        configuration = next
        routes = RouteIndex(next.routes)
        log.belief(
            "configuration",
            "version" to next.version,
            "previous" to current?.version,
            "routes" to next.routes.size,
        )
    }

    private fun applyEvacuation(item: FeedItem.Evacuation, readAt: Long) {
        val changed = directory.setEvacuated(item.domain, item.active, readAt)
        if (changed) log.belief("evacuation", "domain" to item.domain, "active" to item.active)
    }

    private fun applyServer(item: FeedItem.Server, row: TableRow, readAt: Long) {
        val before = directory[item.server]
        val wasMissing = item.server in directory.missing
        if (item.entry != null) {
            directory.put(item.entry, readAt, row.fromCopy)
        } else {
            directory.remove(item.server, readAt, row.afterOutage)
        }
        val after = directory[item.server]
        val isMissing = item.server in directory.missing
        if (before?.state != after?.state || before?.bornWall != after?.bornWall || wasMissing != isMissing) {
            val state = if (isMissing) "lapsing" else after?.state ?: "gone"
            log.belief("server", "server" to item.server, "state" to state, "service" to after?.service)
        }
    }
}
