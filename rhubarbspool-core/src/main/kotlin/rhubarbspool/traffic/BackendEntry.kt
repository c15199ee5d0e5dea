/*
 * What a backend server says of itself in the platform's table.
 */
package rhubarbspool.traffic

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Whether a server takes new work. */
enum class ServerState { READY, DRAINING }

/**
 * One life of a backend server.
 *
 * @property bornWall wall time of its start in milliseconds; with [server] it names one life.
 * @property slots requests that it runs at once.
 * @property coldUntil monotonic time of this process until which the server is cold.
 */
data class BackendEntry(
    val server: ServerName,
    val bornWall: Long,
    val service: ServiceName,
    val address: Address,
    val domain: FailureDomainName,
    val slots: Int,
    val state: ServerState,
    val coldUntil: Long,
)
