/*
 * Snapshot of the servers and operator orders that ownership decisions are based on.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

/**
 * Servers and operator orders at one moment.
 *
 * @property servers entries of the service.
 * @property addresses entries of all services by address.
 * @property evacuated failure domains whose servers may not own ranges.
 * @property isTableUnavailable whether the table does not respond.
 */
data class OwnershipView(
    val servers: List<BackendEntry>,
    val addresses: Map<Address, BackendEntry>,
    val evacuated: Set<FailureDomainName>,
    val isTableUnavailable: Boolean,
) {
    private val entriesByName = servers.associateBy { it.server }

    /** Servers that may own ranges: ready ones outside evacuated failure domains. */
    val eligible: List<BackendEntry> = servers.filter { it.state == ServerState.READY && it.domain !in evacuated }

    /** Whether this incarnation of [owner] has an entry. */
    fun isListed(owner: Owner): Boolean = entriesByName[owner.server]?.bornWall == owner.bornWall

    /** The next incarnation at the address or under the name of [owner], which proves that [owner] has ended. */
    fun successor(owner: Owner): BackendEntry? {
        val sameAddress = addresses[owner.address]?.takeIf { it.server != owner.server }
        val sameName = entriesByName[owner.server]
        return listOfNotNull(sameAddress, sameName).filter { it.bornWall > owner.bornWall }.minByOrNull { it.bornWall }
    }
}
