/*
 * Fingerprints of requests that were in flight when a server crashed. A suspect runs alone, so that another crash
 * identifies the request that caused it; at its second crash a fingerprint is quarantined.
 */
package rhubarbspool.gate

/** Suspect fingerprints of one service that this instance knows of. */
class CrashSuspects {
    private data class Suspect(val crashes: Int, val until: Long)

    private val suspects = HashMap<String, Suspect>()

    /** Records that [fingerprint] was in flight at a crash at [now]; [crashes] is the total so far. */
    fun recordCrash(fingerprint: String, now: Long, crashes: Int = crashesOf(fingerprint, now) + 1) {
        suspects[fingerprint] = Suspect(crashes, now + SUSPICION_MILLISECONDS)
    }

    /** Merges a report of another instance: [crashes] so far, valid until [until]. The higher count wins. */
    fun mergeReported(fingerprint: String, crashes: Int, until: Long) {
        val known = suspects[fingerprint]
        if (known == null || known.crashes < crashes) suspects[fingerprint] = Suspect(crashes, until)
    }

    /** Clears [fingerprint], which ran alone without a crash or was released by an operator. */
    fun clear(fingerprint: String) {
        suspects.remove(fingerprint)
    }

    /** Whether [fingerprint] may run at [now] only while no other call is in flight. */
    fun mustRunAlone(fingerprint: String, now: Long): Boolean = crashesOf(fingerprint, now) > 0

    /** Whether [fingerprint] must not run at [now]. */
    fun isQuarantined(fingerprint: String, now: Long): Boolean = crashesOf(fingerprint, now) >= QUARANTINE_CRASHES

    /** Time from [now] for which [fingerprint] stays suspect, in milliseconds. */
    fun remainingMilliseconds(fingerprint: String, now: Long): Long =
        suspects[fingerprint]?.let { maxOf(0, it.until - now) } ?: 0

    private fun crashesOf(fingerprint: String, now: Long): Int =
        suspects[fingerprint]?.takeIf { it.until > now }?.crashes ?: 0

    companion object {
        /** Number of crashes with a request in flight at which its fingerprint is quarantined. */
        const val QUARANTINE_CRASHES: Int = 2

        /** How long a fingerprint stays suspect after a crash, in milliseconds. */
        const val SUSPICION_MILLISECONDS: Long = 600_000
    }
}
