/*
 * Counts the requests of each key and the responses of each server of sharded services, for the coordinator.
 */
package rhubarbspool.entry

import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.TrafficService

/** Load of sharded services since the last report. */
internal class LoadCounter(private val state: EntryState) {
    private class Answers(var count: Int = 0, var milliseconds: Long = 0, var limit: Double? = null)

    private class Counts {
        val keys = HashMap<Int, Int>()
        val servers = HashMap<ServerName, Answers>()
    }

    private val services = HashMap<ServiceName, Counts>()

    /** Counts a request for [key] of [service]. */
    fun recordRequest(service: TrafficService, key: Int) {
        services.getOrPut(service.name) { Counts() }.keys.merge(key, 1, Int::plus)
    }

    /** Counts a response of [server] of [service] after [milliseconds], which named [limit] if any. */
    fun recordAnswer(service: TrafficService, server: ServerName, milliseconds: Long, limit: Double?) {
        if (!service.sharded) return
        val answers = services.getOrPut(service.name) { Counts() }.servers.getOrPut(server) { Answers() }
        answers.count++
        answers.milliseconds += milliseconds
        answers.limit = limit
    }

    /** Calls [send] with the coordinator and the counts of each service, and resets the counts. */
    fun flush(send: (InstanceName, LoadMessage) -> Unit) {
        services.forEach { (service, counts) ->
            val coordinator = state.shared.ownership[service]?.document?.coordinator
            if (!coordinator.isNullOrEmpty()) send(InstanceName(coordinator), message(service, counts))
        }
        services.clear()
    }

    private fun message(service: ServiceName, counts: Counts): LoadMessage {
        val keys = counts.keys.entries.toList()
        val servers = counts.servers.entries.toList()
        return LoadMessage(
            service.text,
            keys.map { it.key },
            keys.map { it.value },
            servers.map { it.key.text },
            servers.map { it.value.count },
            servers.map { it.value.milliseconds },
            servers.map { it.value.limit ?: NO_LIMIT },
        )
    }
}
