/*
 * An instance's copy of the table's shared rows, with typed indexes. The highest version of a row wins in whatever
 * order rows arrive, so the copy never reverts to an older version.
 */
package rhubarbspool.table

import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import java.util.TreeMap
import kotlin.reflect.KClass

/** A shard row and its version. */
data class ShardEntry(val key: String, val version: Long, val shard: ShardBody)

/** A gate row and its version. */
data class GateEntry(val version: Long, val gate: GateBody)

/** A member row and its version. */
data class MemberEntry(val version: Long, val member: MemberBody)

/** Copy of the shared rows; contains only rows that the table has committed. */
class RowTable {
    private val rows = HashMap<String, VersionedRow>()
    private val memberEntries = sortedMapOf<InstanceName, MemberEntry>()
    private val gateEntries = sortedMapOf<ServerName, GateEntry>()
    private val shardEntries = HashMap<ServerName, HashMap<String, ShardEntry>>()
    private val keysByChange = TreeMap<Long, String>()
    private val changeOfKey = HashMap<String, Long>()
    private val otherBodies = HashMap<KClass<out RowBody>, HashMap<String, RowBody>>()

    /** Hash of the rows, for comparing copies. */
    val digest: RowDigest = RowDigest()

    /** Number of accepted row versions; unchanged as long as the rows are unchanged. */
    var changes: Long = 0
        private set

    val size: Int get() = rows.size

    /** Members by name, including those that left. */
    val members: Map<InstanceName, MemberEntry> get() = memberEntries

    /** Gates by server. */
    val gates: Map<ServerName, GateEntry> get() = gateEntries

    /** Version of the row under [key]; 0 if there is none. */
    fun version(key: String): Long = rows[key]?.version ?: 0

    /** The row under [key], possibly a deleted one; null if this copy has none. */
    fun row(key: String): VersionedRow? = rows[key]

    /**
     * Bodies of [type] in rows that are not deleted; not for members, gates and shards, which have their own indexes.
     */
    fun bodies(type: KClass<out RowBody>): Collection<RowBody> = otherBodies[type]?.values ?: emptyList()

    /** Rows accepted after the change numbered [change], oldest first. */
    fun changedSince(change: Long): List<VersionedRow> =
        keysByChange.tailMap(change, false).values.map { rows.getValue(it) }

    /** All rows, including deleted ones. */
    fun allRows(): Collection<VersionedRow> = rows.values

    /** Shards that [server] owns. */
    fun shardsOf(server: ServerName): Collection<ShardEntry> = shardEntries[server]?.values ?: emptyList()

    /** Shards of [service], including those of hot keys. */
    fun shardsOf(service: ServiceName): List<ShardEntry> =
        shardEntries.values.flatMap { it.values }.filter { it.shard.service == service }

    /** Stores [row] if it is newer than the known version; returns whether it was. */
    fun merge(row: VersionedRow): Boolean {
        val old = rows[row.key]
        if (old != null && old.version >= row.version) return false
        rows[row.key] = row
        old?.let(digest::toggle)
        digest.toggle(row)
        unindex(old)
        index(row)
        changes++
        changeOfKey.put(row.key, changes)?.let(keysByChange::remove)
        keysByChange[changes] = row.key
        return true
    }

    private fun index(row: VersionedRow) {
        when (val body = row.body) {
            is MemberBody -> memberEntries[body.instance] = MemberEntry(row.version, body)
            is GateBody -> gateEntries[body.server] = GateEntry(row.version, body)
            is ShardBody ->
                shardEntries.getOrPut(body.server) { HashMap() }[row.key] = ShardEntry(row.key, row.version, body)
            null -> Unit
            else -> otherBodies.getOrPut(body::class) { HashMap() }[row.key] = body
        }
    }

    private fun unindex(row: VersionedRow?) {
        when (val body = row?.body) {
            is MemberBody -> memberEntries.remove(body.instance)
            is GateBody -> gateEntries.remove(body.server)
            is ShardBody -> shardEntries[body.server]?.remove(row.key)
            null -> Unit
            else -> otherBodies[body::class]?.remove(row.key)
        }
    }
}

/** The body under [key] if it exists and is a [T]. */
inline fun <reified T : RowBody> RowTable.body(key: String): T? = row(key)?.body as? T

/** Whether there is a row under [key] that is not deleted. */
fun RowTable.exists(key: String): Boolean = row(key)?.body != null

/** All configurations that are not deleted. */
fun RowTable.configurations(): List<ConfigurationBody> = bodies(
    ConfigurationBody::class
).map { it as ConfigurationBody }

/** All drain orders that are not deleted. */
fun RowTable.drains(): List<DrainBody> = bodies(DrainBody::class).map { it as DrainBody }

/** All quarantines that are not deleted. */
fun RowTable.quarantines(): List<QuarantineBody> = bodies(QuarantineBody::class).map { it as QuarantineBody }

/** Keys and versions of the rows in [bucket] of the digest. */
fun RowTable.versionsIn(bucket: Int): List<Condition> =
    allRows().filter { RowDigest.bucketOf(it.key) == bucket }.map { Condition(it.key, it.version) }
