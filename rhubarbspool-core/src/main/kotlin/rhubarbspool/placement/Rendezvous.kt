/*
 * Rendezvous hashing: a stable order of candidates for a subject that changes little when candidates come or go.
 */
package rhubarbspool.placement

import com.google.common.hash.Hashing

/** Scores and orders by highest random weight. */
object Rendezvous {
    /** Pseudo-random score of [candidate] for [subject]. */
    fun score(subject: String, candidate: String): Long =
        Hashing.murmur3_128().newHasher().putUnencodedChars(subject).putChar('\n').putUnencodedChars(candidate)
            .hash().asLong()

    /** [candidates] from the most to the least preferred for [subject]. */
    fun <T> order(subject: String, candidates: Collection<T>, name: (T) -> String): List<T> =
        candidates.sortedWith(compareByDescending<T> { score(subject, name(it)) }.thenBy { name(it) })
}
