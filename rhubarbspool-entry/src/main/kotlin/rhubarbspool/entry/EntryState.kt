/*
 * The instance's view of the platform: configuration, evacuated domains, servers, other instances and owners of keys.
 */
package rhubarbspool.entry

import rhubarbspool.traffic.RouteIndex
import rhubarbspool.traffic.ServerDirectory
import rhubarbspool.traffic.TrafficConfiguration

/** State that is decoded from the rows of all feeds; changed on the event loop only. */
internal class EntryState(private val decoder: RowDecoder, private val log: DecisionLog) {
    private val feeds = Feed.entries.associateWith { FeedRows() }

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

    /** Merges [page] of [feed] at [now]; returns whether it contained new rows. */
    fun merge(feed: Feed, page: FeedPage, now: Long): Boolean {
        val newRows = rows(feed).merge(page, now)
        newRows.forEach { row -> decoder.decode(feed, row, now)?.let { merge(it, row.afterOutage, now - row.age) } }
        changes++
        return newRows.isNotEmpty()
    }

    /** Removes servers whose entries have been missing for too long at [now]; returns whether there were any. */
    fun expire(now: Long): Boolean {
        val expired = directory.expire(now)
        expired.forEach { log.belief("server", "server" to it, "state" to "lapsed") }
        return expired.isNotEmpty()
    }

    /** Merges [item], which an instance read from the table at [readAt]. */
    private fun merge(item: FeedItem, afterOutage: Boolean, readAt: Long) = when (item) {
        is FeedItem.Configuration -> applyConfiguration(item.configuration)
        is FeedItem.Evacuation -> applyEvacuation(item, readAt)
        is FeedItem.Server -> applyServer(item, afterOutage, readAt)
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

    private fun applyServer(item: FeedItem.Server, afterOutage: Boolean, readAt: Long) {
        val before = directory[item.server]
        val wasMissing = directory.isEntryMissing(item.server)
        if (item.entry != null) {
            directory.put(item.entry, readAt)
        } else {
            directory.remove(item.server, readAt, afterOutage)
        }
        val after = directory[item.server]
        val isMissing = directory.isEntryMissing(item.server)
        if (before?.state != after?.state || before?.bornWall != after?.bornWall || wasMissing != isMissing) {
            val state = if (isMissing) "lapsing" else after?.state ?: "gone"
            log.belief("server", "server" to item.server, "state" to state, "service" to after?.service)
        }
    }
}
