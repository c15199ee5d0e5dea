/*
 * Versions of the platform's table. The table may be restored from a copy: its counter then goes back, and numbers are
 * given out again. A version here has the number of such restorations, the epoch, in its upper bits, so that whatever
 * was read after a restoration is newer than all that was read before.
 */
package rhubarbspool.entry

/** Composes versions from epochs and the table's own numbers. */
object TableVersion {
    /** A counter that grows by a million a second takes twelve days to overflow, one of the platform's far longer. */
    private const val NUMBER_BITS = 40
    private const val NUMBER_MASK = (1L shl NUMBER_BITS) - 1

    /** The version with [number] in [epoch]. */
    fun of(epoch: Long, number: Long): Long = (epoch shl NUMBER_BITS) + number

    /** Epoch of [version]: 0 until the table was first restored. */
    fun epoch(version: Long): Long = version shr NUMBER_BITS

    /** The table's own number of [version]. */
    fun number(version: Long): Long = version and NUMBER_MASK
}
