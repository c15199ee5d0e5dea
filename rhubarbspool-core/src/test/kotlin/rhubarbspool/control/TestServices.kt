/*
 * The services of the controller simulation: "hold" keeps its keys in a failure domain that is cut off, "move" moves
 * them.
 */
package rhubarbspool.control

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.Limits
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

internal object TestServices {
    const val DOMAINS = 2
    const val EXECUTION_MILLISECONDS = 250L
    private const val MOVE_AFTER_MILLISECONDS = 3_000L

    val all = listOf(service("hold", 4, null), service("move", 2, MOVE_AFTER_MILLISECONDS))
    val servers: List<BackendServer> = all.flatMap { it.servers }

    private fun service(name: String, count: Int, moveAfter: Long?) = ServiceConfiguration(
        ServiceName(name),
        shards = 8,
        routes = listOf(Route("read", "GET", "/{key}", deadlineMilliseconds = EXECUTION_MILLISECONDS)),
        servers = List(count) { server("$name-$it", it) },
        moveAfterMilliseconds = moveAfter,
        limits = Limits(maximumExecutionMilliseconds = EXECUTION_MILLISECONDS),
    )

    private fun server(name: String, number: Int) = BackendServer(
        ServerName(name),
        Address("127.0.0.1", 100 + number),
        FailureDomainName("domain-${number % DOMAINS}"),
    )
}
