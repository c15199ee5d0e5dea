/*
 * Chooses the successors of this instance, requests promises from them, and renews the lease by writing the own row to
 * the table where promises are missing. Nothing is written in a steady state.
 */
package rhubarbspool.control

import rhubarbspool.lease.HolderLease
import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.Now
import rhubarbspool.placement.Rendezvous
import rhubarbspool.table.MemberBody
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.Successor

/** Renews the leases of this instance. */
internal class SuccessorSystem : ControlSystem {
    private val lastRequestAt = HashMap<Pair<LeaseScope, Successor>, Long>()
    private var lastWriteAt = Long.MIN_VALUE / 2
    private var lastEvaluatedAt = Long.MIN_VALUE / 2

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED && state.phase != Phase.LEAVING) return emptyList()
        forgetReplacedSuccessors(state)
        return writeOwnRow(state, now) +
            requestPromises(state, LeaseScope.LOCAL, now) +
            requestPromises(state, LeaseScope.REMOTE, now)
    }

    private fun writeOwnRow(state: ControlState, now: Now): List<ControlEffect> {
        val due = now.monotonic - lastWriteAt >= state.times.renewal &&
            now.monotonic - lastEvaluatedAt >= EVALUATION_INTERVAL_MILLISECONDS
        if (due) lastEvaluatedAt = now.monotonic
        val row = state.self?.member?.takeIf { due && it.generation == state.generation }
        val wanted = row?.let { withSuccessors(state, it, now) }
            ?.takeIf { it != row || needsTableConfirmation(state, now) }
            ?: return emptyList()
        lastWriteAt = now.monotonic
        return MemberWrite.submit(state, wanted, now)
    }

    private fun needsTableConfirmation(state: ControlState, now: Now): Boolean =
        expiresSoon(state.localLease, now, state.times.lease) ||
            (state.remoteLeaseMilliseconds?.let { expiresSoon(state.remoteLease, now, it) } ?: false)

    private fun expiresSoon(lease: HolderLease, now: Now, duration: Long): Boolean =
        !lease.valid(now.monotonic, duration) || lease.validUntil(duration) - now.monotonic < duration / 2

    private fun forgetReplacedSuccessors(state: ControlState) {
        listOf(state.localLease, state.remoteLease).forEach { lease ->
            lease.named.filterNot { isCurrentOrUnknown(state, it) }.forEach(lease::removeSuccessor)
        }
    }

    private fun isCurrentOrUnknown(state: ControlState, successor: Successor): Boolean {
        val member = state.rows.members[successor.instance]?.member ?: return true
        val replaced = member.generation > successor.generation
        val gone = member.generation == successor.generation && member.state == MemberState.GONE
        return !replaced && !gone
    }

    private fun requestPromises(state: ControlState, scope: LeaseScope, now: Now): List<ControlEffect> {
        val lease = if (scope == LeaseScope.LOCAL) state.localLease else state.remoteLease
        val interval = if (scope == LeaseScope.LOCAL) state.times.renewal else remoteRequestInterval(state)
        lastRequestAt.keys.removeAll { it.first == scope && it.second !in lease.named }
        val due = lease.named.filter { successor ->
            lastRequestAt[scope to successor]?.let { now.monotonic - it >= interval } ?: true
        }
        return due.map { successor ->
            lastRequestAt[scope to successor] = now.monotonic
            ControlEffect.RequestPromise(successor, scope, state.generation, state.unrecordedRuns, now.monotonic)
        }
    }

    private fun remoteRequestInterval(state: ControlState): Long =
        maxOf(state.times.renewal, (state.remoteLeaseMilliseconds ?: state.times.lease) / REMOTE_REQUESTS_PER_LEASE)

    companion object {
        /** Maximum number of successors that a holder names in each scope. */
        const val MAXIMUM_SUCCESSORS: Int = 2

        private const val EVALUATION_INTERVAL_MILLISECONDS = 50L
        private const val REMOTE_REQUESTS_PER_LEASE = 5

        /** Returns [body] with the successors that it should name at [now]. */
        fun withSuccessors(state: ControlState, body: MemberBody, now: Now): MemberBody {
            val others = state.activeMembers().filter { it.member.instance != body.instance && !state.isDraining(it) }
            val (sameDomain, otherDomains) = others.partition { it.member.domain == body.domain }
            val wait = state.remoteWait
            val silenceLimit = (state.remoteLeaseMilliseconds ?: 0) / 2
            return body.copy(
                successors = chooseSuccessors(
                    body,
                    body.successors,
                    sameDomain,
                    state.localLease.unresponsive(now.monotonic, state.times.lease / 2)
                ),
                remoteSuccessors = if (wait == null) {
                    emptyList()
                } else {
                    chooseSuccessors(
                        body,
                        body.remoteSuccessors,
                        otherDomains,
                        state.remoteLease.unresponsive(now.monotonic, silenceLimit)
                    )
                },
                remoteWaitMilliseconds = wait ?: 0,
            )
        }

        private fun chooseSuccessors(
            body: MemberBody,
            current: List<Successor>,
            candidates: List<MemberEntry>,
            unresponsive: Set<Successor>,
        ): List<Successor> {
            val available = candidates.map { Successor(it.member.instance, it.member.generation) }
            val responsive = available.filter { it !in unresponsive }
            val kept = current.filter { it in responsive }
            val added = Rendezvous.order(body.instance.text, responsive - kept.toSet()) { it.instance.text }
            val chosen = (kept + added).take(MAXIMUM_SUCCESSORS)
            return chosen.ifEmpty { current.filter { it in available } }
        }
    }
}
