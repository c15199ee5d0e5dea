/*
 * Request rates of a service's keys and response times of its servers, as reported by the instances. Rates decay
 * exponentially, so that a key that has become busy is visible within a second.
 */
package rhubarbspool.ownership

import rhubarbspool.model.ServerName
import kotlin.math.exp

/** Load of all keys. Points in time are monotonic milliseconds. */
class KeyLoad {
    private val rates = HashMap<Int, Double>()
    private val means = HashMap<ServerName, Double>()
    private val limits = HashMap<ServerName, Double>()
    private var decayedAt: Long? = null

    /** Requests per second for each range of [document]. */
    fun ratesOf(document: OwnershipDocument): DoubleArray {
        val result = DoubleArray(document.ranges)
        rates.forEach { (key, rate) -> result[document.rangeOf(key)] += rate }
        return result
    }

    /** Requests per second for each busy key of [keys], in ascending order of the keys. */
    fun ratesIn(keys: KeyRange): List<Pair<Int, Double>> =
        rates.entries.filter { it.key in keys.first..keys.last }.map { it.key to it.value }.sortedBy { it.first }

    /** Mean response time of [server]; the mean of all servers if it has not responded yet. */
    fun meanMilliseconds(server: ServerName): Double = means[server] ?: overallMean

    /** Mean response time of all servers. */
    val overallMean: Double get() = if (means.isEmpty()) DEFAULT_MILLISECONDS else means.values.average()

    /** Records [count] requests for [key] that were reported at [now]. */
    fun recordRequests(key: Int, count: Int, now: Long) {
        decay(now)
        if (key in 0 until OwnershipDocument.KEYS) rates.merge(key, count / DECAY_SECONDS, Double::plus)
    }

    /** Records [answers] responses of [server] that took [milliseconds] in total. */
    fun recordAnswers(server: ServerName, answers: Int, milliseconds: Long) {
        if (answers <= 0) return
        val mean = milliseconds.toDouble() / answers
        val weight = 1 - exp(-answers / SMOOTHING_ANSWERS)
        val previous = means[server] ?: mean
        means[server] = previous + weight * (mean - previous)
    }

    /** Records the [limit] that [server] named in its last response, in requests per second; null if it named none. */
    fun recordLimit(server: ServerName, limit: Double?) {
        if (limit == null) limits.remove(server) else limits[server] = limit
    }

    /** Requests per second that [server] takes, as it named in its last response; null if it named no limit. */
    fun limitOf(server: ServerName): Double? = limits[server]

    /** Applies the decay since the last call to all rates; keys without recent requests are dropped. */
    fun decay(now: Long) {
        val elapsed = now - (decayedAt ?: now)
        if (decayedAt != null && elapsed < DECAY_INTERVAL_MILLISECONDS) return
        decayedAt = now
        val factor = exp(-elapsed / (DECAY_SECONDS * MILLISECONDS_PER_SECOND))
        rates.entries.removeIf { it.value * factor < NEGLIGIBLE_RATE }
        rates.entries.forEach { it.setValue(it.value * factor) }
    }

    private companion object {
        /** Time constant of the decay; a hot key typically lasts a few seconds. */
        const val DECAY_SECONDS = 2.5
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val DECAY_INTERVAL_MILLISECONDS = 100L

        /** What a single request leaves after four decay times. */
        const val NEGLIGIBLE_RATE = 0.007
        const val SMOOTHING_ANSWERS = 15.0
        const val DEFAULT_MILLISECONDS = 200.0
    }
}
