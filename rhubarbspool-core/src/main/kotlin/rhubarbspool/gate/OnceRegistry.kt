/*
 * Once-only requests of one gate: those in progress, and the outcomes of those that ended. This registry is lost with
 * its gate; the record at the table keeps a later gate from running a request again.
 */
package rhubarbspool.gate

/** Entries by the caller's request id, kept for the repeat window of [windowMilliseconds]. */
internal class OnceRegistry(private val windowMilliseconds: Long) {
    /** State of one request id. */
    sealed interface Entry {
        val fingerprint: String

        /** Queued, being recorded or in flight as the call [call]. */
        data class InProgress(override val fingerprint: String, val call: Long) : Entry

        /** Completed with [answer]. */
        data class Completed(override val fingerprint: String, val answer: RecordedAnswer, val at: Long) : Entry

        /** Ended without a known answer; may have run. */
        data class Unknown(override val fingerprint: String, val at: Long) : Entry

        /** Certainly did not run; the table already has the record of its intent. */
        data class NotRun(override val fingerprint: String, val at: Long) : Entry
    }

    private val entries = LinkedHashMap<String, Entry>()

    operator fun get(onceId: String): Entry? = entries[onceId]

    operator fun set(onceId: String, entry: Entry) {
        entries.remove(onceId)
        entries[onceId] = entry
    }

    fun remove(onceId: String) {
        entries.remove(onceId)
    }

    /** Removes entries that ended more than the repeat window before [now]. */
    fun expire(now: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext()) {
            val endedAt = endedAt(iterator.next())
            if (endedAt != null && now - endedAt <= windowMilliseconds) return
            if (endedAt != null) iterator.remove()
        }
    }

    private fun endedAt(entry: Entry): Long? = when (entry) {
        is Entry.InProgress -> null
        is Entry.Completed -> entry.at
        is Entry.Unknown -> entry.at
        is Entry.NotRun -> entry.at
    }
}
