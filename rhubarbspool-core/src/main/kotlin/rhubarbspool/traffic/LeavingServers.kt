/*
 * Servers that have said in a response that they leave. It holds for the incarnation that said so, whatever its entry
 * in the platform's table says.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServerName

/** The incarnation [bornWall] of [server] said at [since], in monotonic milliseconds, that it leaves. */
data class LeavingServer(val server: ServerName, val bornWall: Long, val since: Long)

/** The incarnations that leave. */
internal class LeavingServers {
    private val leaving = object : LinkedHashMap<ServerName, LeavingServer>() {
        override fun removeEldestEntry(eldest: Map.Entry<ServerName, LeavingServer>): Boolean = size > MAXIMUM_SERVERS
    }

    /** All of them. */
    val all: Collection<LeavingServer> get() = leaving.values

    /** Records [next]; returns false if it was known, or a later incarnation or an earlier time is. */
    fun record(next: LeavingServer): Boolean {
        val known = leaving[next.server]
        val isNews = known == null || next.bornWall > known.bornWall ||
            (next.bornWall == known.bornWall && next.since < known.since)
        if (isNews) leaving[next.server] = next
        return isNews
    }

    /** Since when the incarnation of [entry] leaves; null if it has not said so. */
    fun since(entry: BackendEntry): Long? = leaving[entry.server]?.takeIf { it.bornWall == entry.bornWall }?.since

    private companion object {
        const val MAXIMUM_SERVERS = 2_000
    }
}
