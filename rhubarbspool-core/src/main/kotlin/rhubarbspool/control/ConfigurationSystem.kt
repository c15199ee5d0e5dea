/*
 * Fetches and applies accepted configurations. The number of the applied configuration never decreases on any instance,
 * regardless of the order of rows, objects and restarts.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.configurations

/** Fetches configurations that are not applied yet. */
internal class ConfigurationSystem : ControlSystem {
    private val lastFetchAt = HashMap<String, Long>()
    private val missing = HashMap<String, ConfigurationBody>()

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        missing.clear()
        state.rows.configurations()
            .filter { it.number > (state.configurations[it.service]?.number ?: 0) }
            .forEach { missing[it.objectHash] = it }
        lastFetchAt.keys.retainAll(missing.keys)
        val due = missing.keys.filter {
            now.monotonic - (lastFetchAt[it] ?: (now.monotonic - RETRY_MILLISECONDS)) >= RETRY_MILLISECONDS
        }
        return due.map { hash ->
            lastFetchAt[hash] = now.monotonic
            val peers = state.activeMembers().map { it.member.instance } - state.identity.instance
            ControlEffect.FetchObject(hash, peers.shuffled(state.random).take(PEERS_PER_FETCH))
        }
    }

    /**
     * Applies the object [hash] with [text]; returns its service, or null when no such object is missing, or the text
     * is invalid or not newer.
     */
    fun apply(state: ControlState, hash: String, text: String): ServiceName? = missing[hash]?.let { row ->
        val current = state.configurations[row.service]?.number ?: 0
        val configuration = ConfigurationReader.read(text).getOrNull()
            ?.takeIf { it.service == row.service && row.number > current }
        configuration?.let { state.configurations[row.service] = ConfigurationInForce(row.number, it) }
        configuration?.service
    }

    private companion object {
        const val RETRY_MILLISECONDS = 500L
        const val PEERS_PER_FETCH = 3
    }
}
