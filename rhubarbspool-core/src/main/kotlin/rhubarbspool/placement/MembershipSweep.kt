/*
 * Finds the rows of instances that ended without removing them. Each instance examines its successors in a ring of all
 * instances, up to the first that responds, so that one instance examines each and a run of ended ones is examined
 * together. An instance that does not respond is challenged in its own row, which it rewrites if it is alive and
 * reaches the table; the row is removed when the challenge stays unanswered.
 */
package rhubarbspool.placement

import rhubarbspool.model.InstanceName

/** The row of [instance] in [version]; [isChallenged] if it holds a challenge. */
data class Registration(val instance: InstanceName, val version: Long, val isChallenged: Boolean)

/** A change to the row of [registration], on condition that it still has that version. */
sealed interface SweepStep {
    val registration: Registration

    /** Challenge the instance to rewrite its row. */
    data class Challenge(override val registration: Registration) : SweepStep

    /** Remove the row. */
    data class Remove(override val registration: Registration) : SweepStep
}

/** Decides on behalf of [self]. All times are monotonic milliseconds. */
class MembershipSweep(private val self: InstanceName) {
    private data class Challenged(val version: Long, val since: Long)

    private val challenges = HashMap<InstanceName, Challenged>()
    private val answeredAt = HashMap<InstanceName, Long>()

    /** The instances of [ring] that this one examines; empty if it is not in the ring itself. */
    fun examined(ring: List<InstanceName>, isLost: (InstanceName) -> Boolean): List<InstanceName> {
        val position = ring.indexOf(self)
        if (position < 0) return emptyList()
        val successors = ring.drop(position + 1) + ring.take(position)
        val responding = successors.indexOfFirst { !isLost(it) }
        return if (responding < 0) successors else successors.take(responding + 1)
    }

    /** The steps that are due at [now] for the [examined] rows; [lostSince] is when an instance was lost. */
    fun steps(
        examined: List<Registration>,
        lostSince: (InstanceName) -> Long?,
        now: Long,
    ): List<SweepStep> {
        val suspects = examined.filter { registration ->
            lostSince(registration.instance)?.let { now - it >= SUSPICION_MILLISECONDS } ?: false
        }
        recordAnswers(suspects, now)
        return suspects.mapNotNull { step(it, now) }.take(MAXIMUM_STEPS)
    }

    private fun step(suspect: Registration, now: Long): SweepStep? {
        val challenge = challenges[suspect.instance]
        val hasAnswered = answeredAt[suspect.instance]?.let { now - it < ANSWERED_MILLISECONDS } ?: false
        return when {
            !suspect.isChallenged -> SweepStep.Challenge(suspect).takeUnless { hasAnswered }
            challenge != null && now - challenge.since >= ANSWER_MILLISECONDS -> SweepStep.Remove(suspect)
            else -> null
        }
    }

    private fun recordAnswers(suspects: List<Registration>, now: Long) {
        challenges.keys.retainAll(suspects.mapTo(HashSet()) { it.instance })
        suspects.forEach { suspect ->
            val known = challenges[suspect.instance]
            when {
                suspect.isChallenged && known?.version != suspect.version ->
                    challenges[suspect.instance] = Challenged(suspect.version, now)
                !suspect.isChallenged && known != null -> {
                    challenges -= suspect.instance
                    answeredAt[suspect.instance] = now
                }
            }
        }
    }

    private companion object {
        /** An instance that can't be reached for this long is challenged; a restart takes less. */
        const val SUSPICION_MILLISECONDS = 6_000L

        /** A live instance answers a challenge within about two seconds; allows for several attempts. */
        const val ANSWER_MILLISECONDS = 6_000L

        /** An instance that answered, but can't be reached from here, is not challenged again for this long. */
        const val ANSWERED_MILLISECONDS = 60_000L

        /** Limits the writes of an instance that is itself cut off from all others. */
        const val MAXIMUM_STEPS = 4
    }
}
