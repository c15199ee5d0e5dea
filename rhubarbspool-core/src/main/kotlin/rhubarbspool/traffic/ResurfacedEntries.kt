/*
 * Entries that a restored table has although their servers have left since the copy was made. Such an entry is held
 * back: one of a living server is written again, one of a server that left is removed again. Only when neither has
 * happened for some time does it count as current.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServerName

/** Servers that have left, and their entries that came back. All times are monotonic milliseconds. */
internal class ResurfacedEntries {
    private class Held(val entry: BackendEntry, val since: Long)

    private val ended = object : LinkedHashMap<ServerName, BackendEntry>() {
        override fun removeEldestEntry(eldest: Map.Entry<ServerName, BackendEntry>): Boolean = size > MAXIMUM_ENDED
    }
    private val held = HashMap<ServerName, Held>()

    /** The server with the last known [entry] has left. */
    fun recordEnd(entry: BackendEntry) {
        ended[entry.server] = entry
    }

    /**
     * Whether [entry], read from a restored table at [now], is not later than the one that is [known], or, if there is
     * none, than the end of the server. It is held back in the latter case.
     */
    fun isOutdated(entry: BackendEntry, known: BackendEntry?, now: Long): Boolean {
        val last = known ?: ended[entry.server] ?: return false
        val isOutdated = !entry.isLaterThan(last)
        if (isOutdated && known == null) held[entry.server] = Held(entry, now)
        return isOutdated
    }

    /** The entry of [server] was written or removed since. */
    fun release(server: ServerName) {
        held.remove(server)
    }

    /** Entries that have been held back for so long at [now] that they are current. */
    fun takeDue(now: Long): List<BackendEntry> {
        val due = held.values.filter { now - it.since >= HOLD_BACK_MILLISECONDS }.map { it.entry }
        due.forEach { held.remove(it.server) }
        return due
    }

    private companion object {
        /** The platform removes entries of silent servers after three reports, and living ones have written by then. */
        const val HOLD_BACK_MILLISECONDS = 4_000L
        const val MAXIMUM_ENDED = 2_000
    }
}

/** Whether this entry is a later report than [other], of the same incarnation or a later one. */
internal fun BackendEntry.isLaterThan(other: BackendEntry): Boolean =
    compareValuesBy(this, other, BackendEntry::bornWall, BackendEntry::sequence) > 0
