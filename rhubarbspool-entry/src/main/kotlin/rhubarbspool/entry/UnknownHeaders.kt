/*
 * Response headers of servers that this version does not interpret. Each name is logged once, so that a header that a
 * platform has introduced is visible before anything depends on it. Headers of HTTP itself are left out.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpHeaders
import java.util.Locale

/** Logs the names of response headers that are not among [known]. */
internal class UnknownHeaders(known: HeaderNames, private val log: DecisionLog) {
    private val seen = HashSet((known.all + HTTP_HEADERS).map { it.lowercase(Locale.ROOT) })
    private val maximum = seen.size + MAXIMUM_NAMES

    /** Logs the names in [headers] that were not seen before. */
    fun observe(headers: HttpHeaders) {
        if (seen.size >= maximum) return
        headers.names().filter { seen.add(it.lowercase(Locale.ROOT)) }.forEach { name ->
            log.event("header.unknown", "name" to name, "value" to headers.get(name).take(MAXIMUM_VALUE_LENGTH))
        }
    }

    private companion object {
        val HTTP_HEADERS = listOf(
            "Connection", "Content-Encoding", "Content-Length", "Content-Type", "Date", "Keep-Alive", "Retry-After",
            "Server", "Transfer-Encoding",
        )

        /** Bounds the memory that servers with arbitrary header names can use. */
        const val MAXIMUM_NAMES = 64
        const val MAXIMUM_VALUE_LENGTH = 40
    }
}
