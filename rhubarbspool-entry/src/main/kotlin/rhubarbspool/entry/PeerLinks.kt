/*
 * The outgoing connections to other instances, by address.
 */
package rhubarbspool.entry

import rhubarbspool.model.Address

/** Opens and finds links; this process identifies itself as [askerName]. */
internal class PeerLinks(
    private val context: ProcessContext,
    private val transport: PeerTransport,
    private val askerName: String,
    private val events: LinkEvents,
) {
    private val links = HashMap<Address, PeerLink>()

    /** All links. */
    val all: Collection<PeerLink> get() = links.values

    /** The link to [member]. If its address was another instance's before, the link to that one is abandoned. */
    fun to(member: Member): PeerLink {
        links[member.peers]?.takeIf { it.member.instance != member.instance }?.abandon()
        return links.getOrPut(member.peers) { PeerLink(context, transport, member, askerName, events) }
    }

    /** Closes the link to [member] unless requests wait for its response. */
    fun closeUnused(member: Member) {
        links[member.peers]?.takeUnless { it.hasOpenRequests }?.abandon()
    }

    /** Removes [link], which has ended. */
    fun remove(link: PeerLink) {
        links.values.removeAll { it === link }
    }
}
