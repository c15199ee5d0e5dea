/*
 * Servers that refuse a request may name a time for which they want no other from this instance. The times of several
 * instances end at the same moment, so each adds a random part, and the load comes back by degrees.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServerName
import kotlin.random.Random

/** Pauses of servers towards this instance. All times are monotonic milliseconds. */
class ServerPauses(private val random: Random = Random.Default) {
    private data class Pause(val bornWall: Long, val until: Long)

    private val pauses = HashMap<ServerName, Pause>()

    /**
     * The server of [entry] named a pause of [milliseconds] at [now]. A pause that ends later stays in force. Returns
     * the end of the pause if it changed, or else null.
     */
    fun record(entry: BackendEntry, milliseconds: Long, now: Long): Long? {
        val bounded = milliseconds.coerceIn(0, MAXIMUM_MILLISECONDS)
        val spread = minOf(bounded / SPREAD_SHARE, MAXIMUM_SPREAD_MILLISECONDS)
        val until = now + bounded + random.nextLong(spread + 1)
        val isLonger = bounded > remaining(entry, now)
        if (isLonger) pauses[entry.server] = Pause(entry.bornWall, until)
        return until.takeIf { isLonger }
    }

    /** Milliseconds from [now] until the server of [entry] gets requests again; 0 if it does now. */
    fun remaining(entry: BackendEntry, now: Long): Long {
        val pause = pauses[entry.server]?.takeIf { it.bornWall == entry.bornWall }
        return maxOf(0, (pause?.until ?: now) - now)
    }

    /** Servers that are paused at [now]; pauses that have ended are removed. */
    fun paused(now: Long): Set<ServerName> {
        if (pauses.isNotEmpty()) pauses.values.removeIf { it.until <= now }
        return pauses.keys
    }

    private companion object {
        /** A server that names a longer pause is tried again after this time, so that a faulty one is not lost. */
        const val MAXIMUM_MILLISECONDS = 30_000L

        /** One part in this many of the pause is the most that is added to it. */
        const val SPREAD_SHARE = 5
        const val MAXIMUM_SPREAD_MILLISECONDS = 2_000L
    }
}
