/*
 * Removes the rows of instances that ended without a planned stop.
 */
package rhubarbspool.entry

import rhubarbspool.placement.MembershipSweep
import rhubarbspool.placement.Registration
import rhubarbspool.placement.SweepStep

/** Examines instances by [probes], and executes what [MembershipSweep] decides on. */
internal class MemberSweep(
    private val context: ProcessContext,
    private val probes: PeerProbes,
    private val table: PlatformTable,
) {
    private val sweep = MembershipSweep(context.settings.instance)
    private var lastTickAt = 0L
    private var lastProbeAt = 0L

    /** Probes instances and removes rows as far as this is due at [now]. */
    fun tick(now: Long) {
        if (now - lastTickAt < INTERVAL_MILLISECONDS) return
        lastTickAt = now
        val shared = context.state.shared
        val ring = shared.members.values.sortedWith(compareBy(Member::domain, Member::instance))
        val examined = sweep.examined(ring.map { it.instance }, context.reachability::isAvoided)
        if (now - lastProbeAt >= PROBE_INTERVAL_MILLISECONDS) {
            lastProbeAt = now
            examined.mapNotNull(shared.members::get).forEach { probes.probe(it, now) }
        }
        val registrations = examined.mapNotNull { name ->
            val version = shared.memberVersions[name] ?: return@mapNotNull null
            Registration(name, version, shared.members[name]?.isChallenged ?: false)
        }
        sweep.steps(registrations, context.reachability::lostSince, now).forEach(::execute)
    }

    private fun execute(step: SweepStep) {
        val (instance, version) = step.registration
        val member = context.state.shared.members[instance] ?: return
        val value = when (step) {
            is SweepStep.Challenge -> member.copy(isChallenged = true).encode()
            is SweepStep.Remove -> null
        }
        val state = if (value == null) "removing" else "challenged"
        context.log.belief("member", "instance" to instance, "state" to state, "version" to version)
        val write = table.write(Member.keyOf(instance), followed = true, version, value)
        context.tasks.onResult("member.sweep", write) { _, failure ->
            if (failure != null) context.log.event("member.not-swept", "cause" to failure.message)
        }
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 1_000L

        /** An ended instance is found by its duties, or by this probe if it has none. */
        const val PROBE_INTERVAL_MILLISECONDS = 4_000L
    }
}
