/*
 * Creates the shards of a new service. The instance ranked first does it; if two race, the conditions let one win.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Now
import rhubarbspool.placement.Rendezvous
import rhubarbspool.table.Condition
import rhubarbspool.table.RowKeys
import rhubarbspool.table.ShardBody
import rhubarbspool.table.Write

/** Creates the missing shards of each service. */
internal class ShardCreationSystem : ControlSystem {
    private val createdShards = HashMap<String, Int>()

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED) return emptyList()
        return state.configurations.values.map { it.configuration }
            .filter { createdShards[it.service.text] != it.shards }
            .flatMap { create(state, it, now) }
    }

    private fun create(state: ControlState, configuration: ServiceConfiguration, now: Now): List<ControlEffect> {
        val missing = (0 until configuration.shards)
            .filter { state.rows.row(RowKeys.shard(configuration.service, it)) == null }
        if (missing.isEmpty()) createdShards[configuration.service.text] = configuration.shards
        val eligible = state.eligibleServers(configuration).toList()
        val isDue = missing.isNotEmpty() && eligible.isNotEmpty() && isCreator(state, configuration)
        if (!isDue) return emptyList()
        val batch = missing.take(BATCH)
        val writes = batch.map { index ->
            val owner = eligible[index % eligible.size]
            Write(RowKeys.shard(configuration.service, index), ShardBody(configuration.service, index, owner))
        }
        val range = "${configuration.service} ${batch.first()}..${batch.last()}"
        val audit = state.audit(
            AuditedChange("create-shards", range, "none", "${eligible.size} servers", "new service"),
            now
        )
        val conditions = writes.map { Condition(it.key, 0) }
        return state.submit(Change("create/${configuration.service}", conditions, writes, audit), now)
    }

    private fun isCreator(state: ControlState, configuration: ServiceConfiguration): Boolean =
        Rendezvous.order(configuration.service.text, state.activeMembers()) { it.member.instance.text }
            .firstOrNull()?.member?.instance == state.identity.instance

    private companion object {
        const val BATCH = 500
    }
}
