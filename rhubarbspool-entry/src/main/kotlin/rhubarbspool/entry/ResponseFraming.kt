/*
 * Bounds what a response may consist of besides its body. Chunks of a byte, extensions of chunks and interim responses
 * cost many times what the same number of bytes of a body does.
 */
package rhubarbspool.entry

/** Counts the bytes that arrive while one request is in flight. */
internal class ResponseFraming {
    private var receivedBytes = 0L
    private var bodyBytes = 0L

    /** Whether more than the bodies and what may surround them has arrived. */
    val isExcessive: Boolean get() = receivedBytes - bodyBytes > ALLOWED_BYTES + bodyBytes

    /** Bytes of the connection have arrived, [count] in number. */
    fun onReceived(count: Int) {
        receivedBytes += count
    }

    /** Of the bytes that have arrived, [count] belong to a body. */
    fun onBody(count: Int) {
        bodyBytes += count
    }

    private companion object {
        /** Four times the limit of a head, for those of interim and late responses and small chunks. */
        const val ALLOWED_BYTES = 4 * ServerCodec.MAXIMUM_HEADER_BYTES
    }
}
