/*
 * What the coordinator sees of the world at one moment.
 */
package rhubarbspool.ownership

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

/**
 * Entries of servers and what operators want.
 *
 * @property servers entries of the service.
 * @property addresses entries of all services by their addresses.
 * @property isTableUnavailable whether the table does not answer.
 */
data class OwnershipView(
    val servers: List<BackendEntry>,
    val addresses: Map<Address, BackendEntry>,
    val evacuated: Set<FailureDomainName>,
    val isTableUnavailable: Boolean,
) {
    private val entriesByName = servers.associateBy { it.server }

    /** Servers that may own ranges. */
    val eligible: List<BackendEntry> = servers.filter { it.state == ServerState.READY && it.domain !in evacuated }

    /** Whether the life [owner] has an entry. */
    fun isListed(owner: Owner): Boolean = entriesByName[owner.server]?.bornWall == owner.bornWall

    /** A later life at the address or under the name of [owner], which proves that [owner] has ended. */
    fun successor(owner: Owner): BackendEntry? {
        val sameAddress = addresses[owner.address]?.takeIf { it.server != owner.server }
        val sameName = entriesByName[owner.server]
        return listOfNotNull(sameAddress, sameName).filter { it.bornWall > owner.bornWall }.minByOrNull { it.bornWall }
    }
}
