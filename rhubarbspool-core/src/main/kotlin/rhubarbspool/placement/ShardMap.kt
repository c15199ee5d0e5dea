/*
 * From a caller's key to the shard that it belongs to.
 */
package rhubarbspool.placement

import com.google.common.hash.Hashing

/** Hashes keys into the ranges of a service. */
object ShardMap {
    private const val HASH_BITS = 32
    private const val HASH_MASK = 0xffff_ffffL

    /** Number of the range of [key] among [shards] equal ranges of the hash space. */
    fun indexOf(key: String, shards: Int): Int {
        val hash = Hashing.murmur3_128().hashUnencodedChars(key).asLong() and HASH_MASK
        return ((hash * shards) ushr HASH_BITS).toInt()
    }
}
