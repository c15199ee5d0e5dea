/*
 * Limits the memory that callers' request bodies occupy while they are received and until their requests are completed.
 * Without it, a few callers that send the largest bodies allowed at once would exhaust the memory of the process.
 */
package rhubarbspool.entry

/** Memory for bodies, at most [limit] bytes in total. */
internal class BodyMemory(private val limit: Long = Runtime.getRuntime().maxMemory() / SHARE) {
    /** Bytes in use. */
    var used = 0L
        private set

    /** Reserves [bytes]; returns false if there is not enough memory left. */
    fun reserve(bytes: Int): Boolean {
        if (used + bytes > limit) return false
        used += bytes
        return true
    }

    /** Returns [bytes] that were reserved. */
    fun release(bytes: Int) {
        used -= bytes
    }

    private companion object {
        /** One part in this many of the heap; receiving a body takes up to three times its size. */
        const val SHARE = 6
    }
}
