/*
 * Searches the body of a response for the head of another one, which a server may write into it. A body that has no
 * length, or whose length ends early, would be taken for a whole one otherwise.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf

/** Searches a body part by part; [isRepeat] says whether the text from a status line on is a repeated response. */
internal class StatusLineScanner(private val isRepeat: (String) -> Boolean) {
    /** The last bytes of the body from the beginning of a status line on, whose head may not have ended; else none. */
    private var tail = ByteArray(0)
    private var searches = 0

    /** Whether the body has contained a status line, or the beginning of one up to its status. */
    var hasStatusLine = false
        private set

    /** Whether the body has contained a repeated response. */
    var hasRepeat = false
        private set

    /** Number of bytes at the end of the body that may be the beginning of a status line that goes on behind it. */
    val begunBytes: Int
        get() {
            val first = maxOf(0, tail.size - STATUS_LINE_BYTES + 1)
            val start = (first until tail.size).firstOrNull { isBegun(tail.size - it) { at -> tail[it + at] } }
            return if (start == null) 0 else tail.size - start
        }

    /** Searches [part], which follows the earlier parts; its indexes are not changed. */
    fun scan(part: ByteBuf) {
        val start = if (tail.isEmpty()) firstStatusLine(part) else part.readerIndex()
        if (start < 0) return
        val length = part.writerIndex() - start
        val bytes = tail.copyOf(tail.size + length)
        part.getBytes(start, bytes, tail.size, length)
        val starts = bytes.indices.filter { isBegun(bytes.size - it) { at -> bytes[it + at] } }
        starts.filter { bytes.size - it >= STATUS_LINE_BYTES }.forEach { onStatusLine(bytes, it) }
        val open = starts.firstOrNull { bytes.size - it < HEAD_BYTES }
        tail = if (open == null) ByteArray(0) else bytes.copyOfRange(open, bytes.size)
    }

    /** Where a status line starts in [part], or the beginning of one at its end; -1 if there is none. */
    private fun firstStatusLine(part: ByteBuf): Int {
        val end = part.writerIndex()
        var index = part.indexOf(part.readerIndex(), end, FIRST_BYTE)
        while (index >= 0 && !isBegun(end - index) { part.getByte(index + it) }) {
            index = part.indexOf(index + 1, end, FIRST_BYTE)
        }
        return index
    }

    private fun onStatusLine(bytes: ByteArray, index: Int) {
        hasStatusLine = true
        if (hasRepeat || searches++ >= MAXIMUM_SEARCHES) return
        hasRepeat = isRepeat(String(bytes, index, minOf(HEAD_BYTES, bytes.size - index), Charsets.ISO_8859_1))
    }

    private companion object {
        const val VERSION = "HTTP/1."
        const val FIRST_BYTE = 'H'.code.toByte()

        /** Bytes of `HTTP/1.1 2`; a status line may be cut off behind them. */
        const val STATUS_LINE_BYTES = 10
        const val STATUS_AT = 9

        /** Bytes of a head in which the names of its request and its signature are searched. */
        const val HEAD_BYTES = 1_024

        /** Bounds the time for a body that is full of status lines. */
        const val MAXIMUM_SEARCHES = 100

        /** Whether the [length] bytes that [byteAt] returns start with a status line, or are the beginning of one. */
        inline fun isBegun(length: Int, byteAt: (Int) -> Byte): Boolean {
            val end = minOf(STATUS_LINE_BYTES, length)
            var count = 0
            while (count < end && isPartOfStatusLine(byteAt(count), count)) count++
            return count == end
        }

        fun isPartOfStatusLine(byte: Byte, position: Int): Boolean = when {
            position < VERSION.length -> byte == VERSION[position].code.toByte()
            position == STATUS_AT - 1 -> byte == ' '.code.toByte()
            position >= STATUS_AT -> byte in '0'.code..'9'.code
            else -> true
        }
    }
}
