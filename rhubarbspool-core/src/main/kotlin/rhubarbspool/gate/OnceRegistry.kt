/*
 * What this gate knows of once-only requests: those that wait or run, and the outcomes of those that ended. The
 * record at the table keeps a later gate from running a request again whose record here is lost.
 */
package rhubarbspool.gate

/** Once-only requests of one gate by the caller's request id. */
internal class OnceRegistry(private val windowMilliseconds: Long) {
    /** What is known of one request id. */
    sealed interface Entry {
        val fingerprint: String

        /** Waits or runs under the call [call]. */
        data class InProgress(override val fingerprint: String, val call: Long) : Entry

        /** Ended with [answer]. */
        data class Completed(override val fingerprint: String, val answer: RecordedAnswer, val at: Long) : Entry

        /** May have run. */
        data class Unknown(override val fingerprint: String, val at: Long) : Entry

        /** Certainly not run; the table already has the record that it is about to. */
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

    /** Forgets what ended more than the repeat window before [now]. */
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
