/*
 * Chooses who may take over from this instance, asks them for promises, and confirms the own row at the table
 * where promises are missing. In a steady state nothing is written.
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

/** Keeps the leases of this instance alive. */
internal class SuccessorSystem : ControlSystem {
    private val askedAt = HashMap<Pair<LeaseScope, Successor>, Long>()
    private var wroteAt = Long.MIN_VALUE / 2
    private var consideredAt = Long.MIN_VALUE / 2

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED && state.phase != Phase.LEAVING) return emptyList()
        forgetReplaced(state)
        return write(state, now) + ask(state, LeaseScope.LOCAL, now) + ask(state, LeaseScope.REMOTE, now)
    }

    private fun write(state: ControlState, now: Now): List<ControlEffect> {
        val due = now.monotonic - wroteAt >= state.times.renewal &&
            now.monotonic - consideredAt >= CONSIDER_MILLISECONDS
        if (due) consideredAt = now.monotonic
        val row = state.self?.member?.takeIf { due && it.generation == state.generation }
        val wanted = row?.let { withSuccessors(state, it, now) }
            ?.takeIf { it != row || needsConfirmation(state, now) }
            ?: return emptyList()
        wroteAt = now.monotonic
        return MemberWrite.submit(state, wanted, now)
    }

    private fun needsConfirmation(state: ControlState, now: Now): Boolean =
        expiresSoon(state.local, now, state.times.lease) ||
            (state.remoteLease?.let { expiresSoon(state.remote, now, it) } ?: false)

    private fun expiresSoon(lease: HolderLease, now: Now, duration: Long): Boolean =
        !lease.valid(now.monotonic, duration) || lease.validUntil(duration) - now.monotonic < duration / 2

    private fun forgetReplaced(state: ControlState) {
        listOf(state.local, state.remote).forEach { lease ->
            lease.named.filterNot { isCurrentOrUnknown(state, it) }.forEach(lease::removeSuccessor)
        }
    }

    private fun isCurrentOrUnknown(state: ControlState, successor: Successor): Boolean {
        val member = state.rows.members[successor.instance]?.member ?: return true
        val replaced = member.generation > successor.generation
        val gone = member.generation == successor.generation && member.state == MemberState.GONE
        return !replaced && !gone
    }

    private fun ask(state: ControlState, scope: LeaseScope, now: Now): List<ControlEffect> {
        val lease = if (scope == LeaseScope.LOCAL) state.local else state.remote
        val interval = if (scope == LeaseScope.LOCAL) state.times.renewal else remoteInterval(state)
        askedAt.keys.removeAll { it.first == scope && it.second !in lease.named }
        val due = lease.named.filter { successor ->
            askedAt[scope to successor]?.let { now.monotonic - it >= interval } ?: true
        }
        return due.map { successor ->
            askedAt[scope to successor] = now.monotonic
            ControlEffect.AskPromise(successor, scope, state.generation, state.unrecordedRuns, now.monotonic)
        }
    }

    private fun remoteInterval(state: ControlState): Long =
        maxOf(state.times.renewal, (state.remoteLease ?: state.times.lease) / REMOTE_QUESTIONS_PER_LEASE)

    companion object {
        /** Successors that a holder names in each scope, where there are so many. */
        const val SUCCESSORS: Int = 2

        private const val CONSIDER_MILLISECONDS = 50L
        private const val REMOTE_QUESTIONS_PER_LEASE = 5

        /** [body] with the successors that it should name at [now]. */
        fun withSuccessors(state: ControlState, body: MemberBody, now: Now): MemberBody {
            val others = state.activeMembers().filter { it.member.instance != body.instance && !state.isDraining(it) }
            val (near, far) = others.partition { it.member.domain == body.domain }
            val wait = state.remoteWait
            val remoteSilence = (state.remoteLease ?: 0) / 2
            return body.copy(
                successors = choose(
                    body,
                    body.successors,
                    near,
                    state.local.unresponsive(now.monotonic, state.times.lease / 2)
                ),
                remoteSuccessors = if (wait == null) {
                    emptyList()
                } else {
                    choose(body, body.remoteSuccessors, far, state.remote.unresponsive(now.monotonic, remoteSilence))
                },
                remoteWaitMilliseconds = wait ?: 0,
            )
        }

        private fun choose(
            body: MemberBody,
            current: List<Successor>,
            candidates: List<MemberEntry>,
            silent: Set<Successor>,
        ): List<Successor> {
            val available = candidates.map { Successor(it.member.instance, it.member.generation) }
            val answering = available.filter { it !in silent }
            val kept = current.filter { it in answering }
            val fresh = Rendezvous.order(body.instance.text, answering - kept.toSet()) { it.instance.text }
            val chosen = (kept + fresh).take(SUCCESSORS)
            return chosen.ifEmpty { current.filter { it in available } }
        }
    }
}
