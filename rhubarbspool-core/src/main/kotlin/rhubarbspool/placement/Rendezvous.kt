/*
 * Rendezvous hashing: ranks candidates for a subject, with few changes when candidates are added or removed.
 */
package rhubarbspool.placement

import com.google.common.hash.Hashing

/** Rendezvous (highest random weight) hashing. */
object Rendezvous {
    /** Pseudo-random score of [candidate] for [subject]. */
    fun score(subject: String, candidate: String): Long =
        Hashing.murmur3_128().newHasher().putUnencodedChars(subject).putChar('\n').putUnencodedChars(candidate)
            .hash().asLong()

    /** [candidates] from the most to the least preferred for [subject]. */
    fun <T> order(subject: String, candidates: Collection<T>, name: (T) -> String): List<T> =
        order(subject, candidates, { 0 }, name)

    /** [candidates] with those of the largest [capacity] first; equal ones from the most to the least preferred. */
    fun <T> order(subject: String, candidates: Collection<T>, capacity: (T) -> Int, name: (T) -> String): List<T> {
        val scores = candidates.associateWith { score(subject, name(it)) }
        val byPreference = compareByDescending<T> { scores.getValue(it) }.thenBy { name(it) }
        return candidates.sortedWith(compareByDescending(capacity).then(byPreference))
    }
}
