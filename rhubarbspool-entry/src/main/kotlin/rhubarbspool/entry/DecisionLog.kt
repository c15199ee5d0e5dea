/*
 * One structured line for each decision about a request and each change of belief. The appender drops lines rather
 * than block when standard output is slow; a rate limit bounds the lines about requests.
 */
package rhubarbspool.entry

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger("rhubarbspool")

/** Writes decisions. */
internal class DecisionLog(private val clock: () -> Long) {
    private var currentSecond = 0L
    private var lineCount = 0
    private var droppedCount = 0L

    /** A decision about the request [id]. */
    fun request(id: String, decision: String, facts: List<Pair<String, Any?>>) {
        if (admitLine()) write(decision, facts + ("request" to id))
    }

    /** A change of what this process believes. */
    fun belief(subject: String, vararg fields: Pair<String, Any?>) = write("belief.$subject", fields.toList())

    /** Start, stop, reload, and dependencies lost or regained. */
    fun event(event: String, vararg fields: Pair<String, Any?>) = write(event, fields.toList())

    /** Something that should not happen. */
    fun fault(event: String, vararg fields: Pair<String, Any?>) =
        logger.atWarn {
            message = event
            payload = fields.toMap().mapValues { "${it.value}" }
        }

    private fun admitLine(): Boolean {
        val now = clock() / MILLISECONDS_PER_SECOND
        if (now != currentSecond) {
            if (droppedCount > 0) write("log.dropped", listOf("lines" to droppedCount))
            currentSecond = now
            lineCount = 0
            droppedCount = 0
        }
        if (lineCount++ < LINES_PER_SECOND) return true
        droppedCount++
        return false
    }

    private fun write(event: String, fields: List<Pair<String, Any?>>) = logger.atInfo {
        message = event
        payload = fields.toMap().mapValues { "${it.value}" }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Twice the lines that an instance writes at its share of the load with one retry each. */
        const val LINES_PER_SECOND = 200
    }
}
