/*
 * Rows that the instances write themselves: the list of instances, and the owners of keys.
 */
package rhubarbspool.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.OwnershipDocument

/**
 * An instance, as it registered itself in the shared rows.
 *
 * @property processorPercent the share of a processor core that it has, in percent; 0 if it is not known.
 * @property isChallenged whether another instance, which can't reach this one, asks it to write its row again.
 */
@Serializable
data class Member(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val peers: Address,
    val processorPercent: Int = 0,
    val isChallenged: Boolean = false,
) {
    /** Encodes this member as the value of its row. */
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        /** The key of the row of [instance]. */
        fun keyOf(instance: InstanceName): String = "member/$instance"
    }
}

/**
 * An ownership document and the version of its row.
 *
 * @property isConfirmed whether it is known to be the last one that was written. The only one that is known may be one
 * from before the table was restored, and owners may have changed since.
 */
data class VersionedOwnership(
    val version: Long,
    val document: OwnershipDocument,
    val isConfirmed: Boolean = true,
) {
    /**
     * The document that a new coordinator takes over. Unless it is confirmed, all grants that may have followed it must
     * have run out, and tokens continue above theirs.
     */
    val successor: OwnershipDocument
        get() = if (isConfirmed) document else document.withoutOwners(TableVersion.epoch(version) - document.epoch)
}

/** Decoded contents of the shared rows. */
internal class SharedRows(private val log: DecisionLog) {
    /** Instances by name. */
    val members = HashMap<InstanceName, Member>()

    /** Number of changes to [members]. */
    var memberChanges = 0L
        private set

    /** Versions of the rows that instances have. */
    val memberVersions = HashMap<InstanceName, Long>()

    /** Owners of keys by service. */
    val ownership = HashMap<ServiceName, VersionedOwnership>()

    /** Merges one row. */
    fun merge(item: FeedItem.Shared) {
        when {
            item.key.startsWith(MEMBERS) -> mergeMember(item, InstanceName(item.key.removePrefix(MEMBERS)))
            item.key.startsWith(OWNERS) -> mergeOwnership(item, ServiceName(item.key.removePrefix(OWNERS)))
        }
    }

    private fun mergeMember(item: FeedItem.Shared, name: InstanceName) {
        if (item.value == null) memberVersions.remove(name) else memberVersions[name] = item.version
        val member = item.value?.let { parse(item.key) { json.decodeFromString(Member.serializer(), it) } }
        val before = if (member == null) members.remove(name) else members.put(name, member)
        if (before != member) memberChanges++
    }

    private fun mergeOwnership(item: FeedItem.Shared, service: ServiceName) {
        val known = ownership[service]
        val isNewer = (known?.version ?: 0) < item.version
        val document = item.value?.takeIf { isNewer }?.let { parse(item.key) { OwnershipDocument.decode(it) } }
        val epoch = TableVersion.epoch(item.version)
        val isRestored = known != null && TableVersion.epoch(known.version) < epoch
        when {
            document == null -> Unit
            known != null && isRestored && known.document.revision >= document.revision ->
                ownership[service] = known.copy(version = item.version)
            else ->
                ownership[service] = VersionedOwnership(item.version, document, isConfirmed = document.epoch == epoch)
        }
    }

    private fun <T> parse(key: String, decode: (() -> T)): T? = try {
        decode()
    } catch (exception: SerializationException) {
        log.fault("cannot decode a shared row", "row" to key, "cause" to exception.message)
        null
    }

    companion object {
        /** Instances of later versions may write more fields. */
        private val json = Json { ignoreUnknownKeys = true }
        private const val MEMBERS = "member/"
        private const val OWNERS = "owners/"

        /** The key of the row with the owners of [service]. */
        fun ownersKey(service: ServiceName): String = OWNERS + service
    }
}
