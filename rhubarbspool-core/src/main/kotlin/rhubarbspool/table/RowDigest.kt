/*
 * A hash over a set of rows in buckets: equal for equal sets, whatever order the rows came in.
 */
package rhubarbspool.table

import com.google.common.hash.Hashing

/** Hash of a changing set of rows. */
class RowDigest {
    private val buckets = LongArray(BUCKETS)

    /** The hash of each bucket. */
    val values: List<Long> get() = buckets.toList()

    /** Adds [row], or takes it out when it was added before. */
    fun toggle(row: VersionedRow) {
        val hash = Hashing.murmur3_128().newHasher().putUnencodedChars(row.key).putLong(row.version).hash()
        val bucket = bucketOf(row.key)
        buckets[bucket] = buckets[bucket] xor hash.asLong()
    }

    companion object {
        /** Number of buckets. */
        const val BUCKETS: Int = 32

        /** Bucket that the row under [key] belongs to. */
        fun bucketOf(key: String): Int = Math.floorMod(key.hashCode(), BUCKETS)
    }
}
