/*
 * Registration of a backend server in the platform's table.
 */
package rhubarbspool.traffic

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Whether a server accepts new requests. */
enum class ServerState { READY, DRAINING }

/**
 * One incarnation of a backend server.
 *
 * @property bornWall wall time of its start in milliseconds; identifies the incarnation together with [server].
 * @property slots most requests that it runs concurrently.
 * @property coldUntil time on the monotonic clock of this process until which the server is cold.
 * @property sequence counts the reports of the incarnation.
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
    val sequence: Long = 0,
)
