/*
 * Structured log with one line for each decision about a request and each change of the instance's view of the
 * platform. The appender drops lines rather than block when standard output is slow; lines about requests are rate
 * limited.
 */
package rhubarbspool.entry

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger("rhubarbspool")

/** Writes log lines; [clock] returns monotonic milliseconds for the rate limit. */
internal class DecisionLog(private val clock: () -> Long) {
    /** The lines of the present second out of [limit]. */
    private inner class LineBudget(private val limit: Int) {
        private var currentSecond = 0L
        private var lineCount = 0
        private var droppedCount = 0L

        fun admitLine(): Boolean {
            val now = clock() / MILLISECONDS_PER_SECOND
            if (now != currentSecond) {
                if (droppedCount > 0) write("log.dropped", listOf("lines" to droppedCount))
                currentSecond = now
                lineCount = 0
                droppedCount = 0
            }
            if (lineCount++ < limit) return true
            droppedCount++
            return false
        }
    }

    private val requestLines = LineBudget(REQUEST_LINES)
    private val disconnectionLines = LineBudget(DISCONNECTION_LINES)

    /** Logs a decision about the request [id], unless the rate limit is exceeded. */
    fun request(id: String, decision: String, facts: List<Pair<String, Any?>>) {
        if (requestLines.admitLine()) write(decision, facts + ("request" to id))
    }

    /** Logs that the connection of [peer] is closed for [reason], unless the rate limit is exceeded. */
    fun disconnected(peer: Any?, reason: String) {
        if (disconnectionLines.admitLine()) write("disconnected", listOf("peer" to peer, "reason" to reason))
    }

    /** Logs a change in this process's view of [subject]. */
    fun belief(subject: String, vararg fields: Pair<String, Any?>) = write("belief.$subject", fields.toList())

    /** Logs start, stop, reload, and the loss or recovery of dependencies. */
    fun event(event: String, vararg fields: Pair<String, Any?>) = write(event, fields.toList())

    /** Logs a warning about something that should not happen. */
    fun fault(event: String, vararg fields: Pair<String, Any?>) =
        logger.atWarn {
            message = event
            payload = fields.toMap().mapValues { "${it.value}" }
        }

    private fun write(event: String, fields: List<Pair<String, Any?>>) = logger.atInfo {
        message = event
        payload = fields.toMap().mapValues { "${it.value}" }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Twice the lines of an instance that serves its share of the load with one retry for each request. */
        const val REQUEST_LINES = 200

        /** A peer that connects again and again leaves room for those about requests. */
        const val DISCONNECTION_LINES = 20
    }
}
