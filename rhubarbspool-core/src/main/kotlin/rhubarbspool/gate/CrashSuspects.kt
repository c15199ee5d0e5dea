/*
 * Fingerprints of requests that were in flight when a server crashed. A suspect runs alone, so that the next
 * crash tells the guilty from the innocent; at the second crash it is quarantined.
 */
package rhubarbspool.gate

/** Suspect fingerprints of one service, as this instance knows them. */
class CrashSuspects {
    private data class Suspect(val crashes: Int, val until: Long)

    private val suspects = HashMap<String, Suspect>()

    /** Notes that [fingerprint] was in flight at a crash at [now], with the total of [crashes] where it is known. */
    fun recordCrash(fingerprint: String, now: Long, crashes: Int = crashesOf(fingerprint, now) + 1) {
        suspects[fingerprint] = Suspect(crashes, now + SUSPICION_MILLISECONDS)
    }

    /** Notes what another instance found: [crashes] so far, valid until [until]. */
    fun mergeReported(fingerprint: String, crashes: Int, until: Long) {
        val known = suspects[fingerprint]
        if (known == null || known.crashes < crashes) suspects[fingerprint] = Suspect(crashes, until)
    }

    /** [fingerprint] ran alone to its end, or an operator released it. */
    fun clear(fingerprint: String) {
        suspects.remove(fingerprint)
    }

    /** Whether [fingerprint] may only run alone at [now]. */
    fun mustRunAlone(fingerprint: String, now: Long): Boolean = crashesOf(fingerprint, now) > 0

    /** Whether [fingerprint] must not run at [now]. */
    fun isQuarantined(fingerprint: String, now: Long): Boolean = crashesOf(fingerprint, now) >= QUARANTINE_CRASHES

    /** How long [fingerprint] stays suspect, in milliseconds. */
    fun remainingMilliseconds(fingerprint: String, now: Long): Long =
        suspects[fingerprint]?.let { maxOf(0, it.until - now) } ?: 0

    private fun crashesOf(fingerprint: String, now: Long): Int =
        suspects[fingerprint]?.takeIf { it.until > now }?.crashes ?: 0

    companion object {
        /** Crashes at which a request was in flight before it is quarantined. */
        const val QUARANTINE_CRASHES: Int = 2

        /** How long a fingerprint stays suspect after a crash. */
        const val SUSPICION_MILLISECONDS: Long = 600_000
    }
}
