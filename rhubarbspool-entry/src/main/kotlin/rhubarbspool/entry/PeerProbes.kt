/*
 * Finds out whether other instances respond. An instance that was lost gets no requests until it responds to a probe.
 */
package rhubarbspool.entry

import rhubarbspool.model.InstanceName

/** Sends probes over [links]. */
internal class PeerProbes(private val context: ProcessContext, private val links: PeerLinks) {
    private val reachability = context.reachability
    private val sentAt = HashMap<InstanceName, Long>()

    /** Asks [member] at [now] for a sign of life; it is lost if none arrives. */
    fun probe(member: Member, now: Long) {
        if (member.instance in sentAt || member.instance == context.settings.instance) return
        sentAt[member.instance] = now
        if (reachability.isAvoided(member.instance)) links.closeUnused(member)
        links.to(member).sendMessage(PeerMessage(ping = true), now)
    }

    /** A message from [member] arrived. */
    fun onResponse(member: Member) {
        sentAt.remove(member.instance)
    }

    /** Ends probes without a response at [now], and probes the instances that are lost. */
    fun tick(now: Long) {
        val members = context.state.shared.members
        val unanswered = sentAt.filterValues { now - it >= RESPONSE_MILLISECONDS }.keys
        sentAt -= unanswered
        unanswered.mapNotNull(members::get).forEach { member ->
            links.closeUnused(member)
            context.recordLoss(member, silent = true)
        }
        reachability.retainAll(members.keys)
        if (reachability.lost.isNotEmpty()) probeLost(now)
    }

    /** Probes the lost instances, and of a domain that is cut off a random one besides. */
    private fun probeLost(now: Long) {
        val members = context.state.shared.members
        val others = reachability.cutOffDomains.mapNotNull { domain ->
            members.values.filter { it.domain == domain && !reachability.isAvoided(it.instance) }.randomOrNull()
        }
        (reachability.lost.mapNotNull(members::get) + others).forEach { probe(it, now) }
    }

    private companion object {
        /** A live instance responds within this time, also while it is slow; lost ones are probed at this interval. */
        const val RESPONSE_MILLISECONDS = 1_000L
    }
}
