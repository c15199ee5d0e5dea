/*
 * What this instance believes: the configuration, evacuated domains, servers, other instances and owners of keys.
 */
package rhubarbspool.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.RouteIndex
import rhubarbspool.traffic.ServerDirectory
import rhubarbspool.traffic.TrafficConfiguration

/** Another instance, as it wrote itself into the shared rows. */
@Serializable
data class Member(val instance: InstanceName, val domain: FailureDomainName, val peers: Address)

/** An ownership document and the version of its row. */
data class VersionedOwnership(val version: Long, val document: OwnershipDocument)

/** The beliefs of one process; changes are made on the event loop only. */
class EntryState(private val decoder: RowDecoder, private val log: DecisionLog) {
    val directory = ServerDirectory()
    val versions = HashMap<Feed, Long>()
    val members = HashMap<InstanceName, Member>()
    val memberVersions = HashMap<InstanceName, Long>()
    val ownership = HashMap<ServiceName, VersionedOwnership>()
    val evacuated = HashSet<FailureDomainName>()
    private val newestRows = HashMap<Feed, Long>()
    private val rows = Feed.entries.associateWith { LinkedHashMap<String, TableRow>() }
    var configuration: TrafficConfiguration? = null
        private set
    var routes = RouteIndex(emptyList())
        private set

    /** Grows with every change of servers, services or evacuations. */
    var changes: Long = 0
        private set

    /** Servers of [service] that take new work; an evacuated domain's only for owners of keys. */
    fun usable(service: ServiceName): List<BackendEntry> = directory.usable(service, evacuated)

    /** Versions of the newest rows; the table's own version also grows with rows of other feeds. */
    fun news() = NewsMessage(newest(Feed.OPERATOR), newest(Feed.SERVERS), newest(Feed.SHARED))

    private fun newest(feed: Feed): Long = newestRows[feed] ?: 0

    /** All rows of [feed] as they are known here, to be passed on; null before they were read. */
    fun snapshot(feed: Feed): FeedPage? =
        versions[feed]?.let { version -> FeedPage(version, rows.getValue(feed).values.toList(), complete = true) }

    /** Takes in [page] of [feed] at [now]; rows that are not newer than known ones change nothing. */
    fun merge(feed: Feed, page: FeedPage, now: Long) {
        val known = rows.getValue(feed)
        val items = page.rows.mapNotNull { row -> if (isNews(known, row)) decoder.decode(feed, row, now) else null }
        if (page.complete && page.version >= (versions[feed] ?: 0)) dropMissing(feed, page, known, now)
        page.rows.filter { isNews(known, it) }.forEach { known[it.key] = it }
        newestRows[feed] = maxOf(newest(feed), page.rows.maxOfOrNull { it.version } ?: 0)
        known.values.removeAll { it.value == null && page.version - it.version > FORGOTTEN_VERSIONS }
        items.forEach { merge(it, now) }
        versions[feed] = maxOf(versions[feed] ?: 0, page.version)
        changes++
    }

    private fun isNews(known: Map<String, TableRow>, row: TableRow): Boolean =
        known[row.key]?.let { it.version < row.version } ?: true

    private fun dropMissing(feed: Feed, page: FeedPage, known: LinkedHashMap<String, TableRow>, now: Long) {
        val present = page.rows.mapTo(HashSet()) { it.key }
        val missing = known.values.filter { it.key !in present && it.value != null }
        missing.forEach { row ->
            known.remove(row.key)
            decoder.decode(feed, row.copy(version = page.version, value = null), now)?.let { merge(it, now) }
        }
    }

    private fun merge(item: FeedItem, now: Long) = when (item) {
        is FeedItem.Configuration -> adopt(item.configuration)
        is FeedItem.Evacuation -> evacuate(item)
        is FeedItem.Server -> server(item, now)
        is FeedItem.Shared -> shared(item)
    }

    private fun adopt(next: TrafficConfiguration) {
        val current = configuration
        if (current != null && next.version <= current.version) return
        configuration = next
        routes = RouteIndex(next.routes)
        log.belief("configuration", "version" to next.version, "previous" to current?.version, "routes" to next.routes.size)
    }

    private fun evacuate(item: FeedItem.Evacuation) {
        val changed = if (item.active) evacuated.add(item.domain) else evacuated.remove(item.domain)
        if (changed) log.belief("evacuation", "domain" to item.domain, "active" to item.active)
    }

    private fun server(item: FeedItem.Server, now: Long) {
        val before = directory[item.server]
        if (item.entry != null) directory.put(item.entry, now) else directory.remove(item.server, now)
        val after = directory[item.server]
        if (before?.state != after?.state || before?.bornWall != after?.bornWall) {
            log.belief("server", "server" to item.server, "state" to (after?.state ?: "gone"), "service" to after?.service)
        }
    }

    private fun shared(item: FeedItem.Shared) {
        when {
            item.key.startsWith(MEMBER_PREFIX) -> member(item)
            item.key.startsWith(OWNERS_PREFIX) -> owners(item)
        }
    }

    private fun member(item: FeedItem.Shared) {
        val name = InstanceName(item.key.removePrefix(MEMBER_PREFIX))
        memberVersions[name] = item.version
        val member = item.value?.let { parse(item.key) { Json.decodeFromString(Member.serializer(), it) } }
        if (member == null) members.remove(name) else members[name] = member
    }

    private fun owners(item: FeedItem.Shared) {
        val service = ServiceName(item.key.removePrefix(OWNERS_PREFIX))
        if ((ownership[service]?.version ?: 0) >= item.version) return
        val document = item.value?.let { parse(item.key) { OwnershipDocument.decode(it) } } ?: return
        ownership[service] = VersionedOwnership(item.version, document)
    }

    private fun <T> parse(key: String, read: (() -> T)): T? = try {
        read()
    } catch (exception: SerializationException) {
        log.fault("a shared row can't be read", "row" to key, "cause" to exception.message)
        null
    }

    companion object {
        const val MEMBER_PREFIX: String = "member/"
        const val OWNERS_PREFIX: String = "owners/"

        /** A removed row is remembered until later versions can't be mistaken for earlier ones. */
        private const val FORGOTTEN_VERSIONS = 10_000L
    }
}
