/*
 * Resolves a key to its shard, the server that owns the shard, and the instance that holds the gate of that server.
 */
package rhubarbspool.routing

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Address
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.placement.ShardMap
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.ShardBody
import rhubarbspool.table.body

/**
 * Where a key is served.
 *
 * @property holder instance that holds the server's gate; null if there is none.
 * @property router address of the holder's router; null if there is no holder.
 */
data class KeyLocation(
    val shardKey: String,
    val shardVersion: Long,
    val shardEpoch: Long,
    val server: ServerName,
    val holder: InstanceName?,
    val gateEpoch: Long,
    val router: Address?,
)

/** Locates keys in a local copy of the rows. */
object KeyLocator {
    /** Row key of the shard of [key]; a hot key has a shard of its own. */
    fun shardKey(rows: RowTable, configuration: ServiceConfiguration, key: String): String {
        val hot = RowKeys.hotShard(configuration.service, key)
        if (rows.body<ShardBody>(hot) != null) return hot
        return RowKeys.shard(configuration.service, ShardMap.indexOf(key, configuration.shards))
    }

    /** Location of [key]; null if no server owns its shard. */
    fun locate(rows: RowTable, configuration: ServiceConfiguration, key: String): KeyLocation? {
        val shardKey = shardKey(rows, configuration, key)
        val shard = rows.body<ShardBody>(shardKey) ?: return null
        val gate = rows.gates[shard.server]?.gate
        val member = gate?.holder?.let { rows.members[it]?.member }
        val current = member?.takeIf { it.generation == gate.generation && it.state != MemberState.GONE }
        return KeyLocation(
            shardKey,
            rows.version(shardKey),
            shard.epoch,
            shard.server,
            current?.instance,
            gate?.epoch ?: 0,
            current?.router,
        )
    }
}
