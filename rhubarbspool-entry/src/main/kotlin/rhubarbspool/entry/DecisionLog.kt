/*
 * One structured line for each decision about a request and each change of belief. The appender drops lines rather
 * than block when standard output is slow; a rate limit bounds the lines about requests.
 */
package rhubarbspool.entry

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger("rhubarbspool")

/** Writes decisions. */
internal class DecisionLog(private val clock: () -> Long) {
    private var second = 0L
    private var lines = 0
    private var dropped = 0L

    /** A decision about the request [id]. */
    fun request(id: String, decision: String, facts: List<Pair<String, Any?>>) {
        if (admit()) write(decision, facts + ("request" to id))
    }

    /** A change of what this process believes. */
    fun belief(subject: String, vararg fields: Pair<String, Any?>) = write("belief.$subject", fields.toList())

    /** Start, stop, reload, and dependencies lost or regained. */
    fun event(what: String, vararg fields: Pair<String, Any?>) = write(what, fields.toList())

    /** Something that should not happen. */
    fun fault(what: String, vararg fields: Pair<String, Any?>) =
        logger.atWarn {
            message = what
            payload = fields.toMap().mapValues { "${it.value}" }
        }

    private fun admit(): Boolean {
        val now = clock() / MILLISECONDS_PER_SECOND
        if (now != second) {
            if (dropped > 0) write("log.dropped", listOf("lines" to dropped))
            second = now
            lines = 0
            dropped = 0
        }
        if (lines++ < LINES_PER_SECOND) return true
        dropped++
        return false
    }

    private fun write(what: String, fields: List<Pair<String, Any?>>) = logger.atInfo {
        message = what
        payload = fields.toMap().mapValues { "${it.value}" }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Twice the lines that an instance writes at its share of the load with one retry each. */
        const val LINES_PER_SECOND = 200
    }
}
