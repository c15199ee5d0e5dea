/*
 * Maps the key of a request to its shard.
 */
package rhubarbspool.placement

import com.google.common.hash.Hashing

/** Partitions the hash space of a service into equal ranges. */
object ShardMap {
    private const val HASH_BITS = 32
    private const val HASH_MASK = 0xffff_ffffL

    /** Index of the range of [key] among [shards] equal ranges of the hash space. */
    fun indexOf(key: String, shards: Int): Int {
        val hash = Hashing.murmur3_128().hashUnencodedChars(key).asLong() and HASH_MASK
        return ((hash * shards) ushr HASH_BITS).toInt()
    }
}
