/*
 * Bucketed hash of a set of rows that does not depend on the order in which rows are added.
 */
package rhubarbspool.table

import com.google.common.hash.Hashing

/** Incremental hash of a set of rows. */
class RowDigest {
    private val buckets = LongArray(BUCKETS)

    /** The hash of each bucket. */
    val values: List<Long> get() = buckets.toList()

    /** Adds [row], or removes it if it is included. */
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
