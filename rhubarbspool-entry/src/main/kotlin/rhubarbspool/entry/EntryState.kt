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
class EntryState(private val log: DecisionLog) {
    val directory = ServerDirectory()
    val versions = HashMap<Feed, Long>()
    val members = HashMap<InstanceName, Member>()
    val memberVersions = HashMap<InstanceName, Long>()
    val ownership = HashMap<ServiceName, VersionedOwnership>()
    val evacuated = HashSet<FailureDomainName>()
    var configuration: TrafficConfiguration? = null
        private set
    var routes = RouteIndex(emptyList())
        private set

    /** Grows with every change of servers, services or evacuations. */
    var changes: Long = 0
        private set

    /** Servers of [service] that take new work; an evacuated domain's only for owners of keys. */
    fun usable(service: ServiceName): List<BackendEntry> = directory.usable(service, evacuated)

    /** Takes in [page] of [feed] at [now]. */
    fun merge(feed: Feed, page: FeedPage, now: Long) {
        if (page.complete) dropMissing(feed, page, now)
        page.items.forEach { merge(it, now) }
        versions[feed] = maxOf(versions[feed] ?: 0, page.version)
        changes++
    }

    private fun dropMissing(feed: Feed, page: FeedPage, now: Long) {
        when (feed) {
            Feed.SERVERS -> {
                val present = page.items.filterIsInstance<FeedItem.Server>().mapNotNull { it.entry }
                directory.replace(present, now)
            }
            Feed.OPERATOR -> {
                val active = page.items.filterIsInstance<FeedItem.Evacuation>().filter { it.active }
                evacuated.retainAll(active.map { it.domain }.toSet())
            }
            Feed.SHARED -> {
                val keys = page.items.filterIsInstance<FeedItem.Shared>().mapTo(HashSet()) { it.key }
                members.keys.retainAll { MEMBER_PREFIX + it.text in keys }
            }
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
        if (item.entry != null) directory.put(item.entry) else directory.remove(item.server, now)
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
    }
}
