/*
 * Keys of rows in the platform's table service.
 */
package rhubarbspool.table

import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Builds and classifies row keys. */
object RowKeys {
    /** Prefixes of the rows that every instance keeps a copy of. */
    val SHARED_PREFIXES: List<String> =
        listOf("member/", "gate/", "shard/", "configuration/", "drain/", "quarantine/", "server/")

    private const val INDEX_WIDTH = 6

    fun member(instance: InstanceName): String = "member/$instance"

    fun gate(server: ServerName): String = "gate/$server"

    fun server(server: ServerName): String = "server/$server"

    fun shard(service: ServiceName, index: Int): String =
        "shard/$service/${index.toString().padStart(INDEX_WIDTH, '0')}"

    fun hotShard(service: ServiceName, key: String): String = "shard/$service/key/$key"

    fun configuration(service: ServiceName): String = "configuration/$service"

    fun drain(kind: DrainKind, name: String): String = "drain/${kind.name.lowercase()}/$name"

    fun quarantine(service: ServiceName, fingerprint: String): String = "quarantine/$service/$fingerprint"

    fun once(service: ServiceName, requestId: String): String = "once/$service/$requestId"

    /** Key of an audit entry: sorts by time; [writeId] makes entries of the same millisecond distinct. */
    fun audit(atMilliseconds: Long, writeId: String): String = "audit/$atMilliseconds-$writeId"
}

/** Whether every instance keeps a copy of the row under [key]. */
fun RowKeys.isShared(key: String): Boolean = SHARED_PREFIXES.any { key.startsWith(it) }
