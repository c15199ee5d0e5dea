/*
 * Maps the keys of a service to the servers that own them: one document in the platform's table, written before a grant
 * is sent. The key space is divided into equal ranges, far more than there are servers, so that neighbouring busy keys
 * are owned by different servers.
 */
package rhubarbspool.ownership

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

/** One incarnation of a server: a server that restarts under the same name is a different owner and holds no ranges. */
@Serializable
data class Owner(val server: ServerName, val bornWall: Long, val address: Address)

/**
 * Owners of all ranges of a service.
 *
 * @property coordinator the coordinating instance, to which load reports are sent.
 * @property owners incarnations that own ranges.
 * @property ownerOf index into [owners] for each range; -1 if the range has no owner.
 * @property fences fencing token of each range; always even, so that the next odd token is free for a fencing grant to
 * the holder before a release.
 */
@Serializable
data class OwnershipDocument(
    val owners: List<Owner>,
    val ownerOf: List<Int>,
    val fences: List<Long>,
    val coordinator: String = "",
) {
    /** Number of ranges. */
    val ranges: Int get() = ownerOf.size

    /** The owner of [range]; null if it has none. */
    fun owner(range: Int): Owner? = owners.getOrNull(ownerOf[range])

    /**
     * Returns this document with the new owners by range in [changes]; each of these ranges gets the next even token.
     */
    fun with(changes: Map<Int, Owner>): OwnershipDocument {
        val current = ownerOf.indices.map { changes[it] ?: owner(it) }
        val incarnations = current.filterNotNull().distinct()
        val index = incarnations.withIndex().associate { it.value to it.index }
        return OwnershipDocument(
            incarnations,
            current.map { owner -> owner?.let(index::getValue) ?: NO_OWNER },
            fences.mapIndexed { range, fence -> if (range in changes) fence + FENCE_STEP else fence },
            coordinator,
        )
    }

    /**
     * Returns this document with the next even token for every range: once an owner has accepted a grant with it,
     * grants of earlier coordinators that are still in flight are void.
     */
    fun takenOverBy(coordinator: String): OwnershipDocument =
        copy(fences = fences.map { it + FENCE_STEP }, coordinator = coordinator)

    /** This document as JSON. */
    fun encode(): String = JSON.encodeToString(serializer(), this)

    companion object {
        /** Number of ranges in a new document; 64 keys each. */
        const val RANGES: Int = 1_024

        /** Size of the key space. */
        const val KEYS: Int = 65_536

        private const val NO_OWNER = -1
        private const val FENCE_STEP = 2L
        private val JSON = Json { ignoreUnknownKeys = true }

        /** A document without owners. */
        fun empty(ranges: Int = RANGES): OwnershipDocument =
            OwnershipDocument(emptyList(), List(ranges) { NO_OWNER }, List(ranges) { 0L })

        /** Parses [text]; throws [IllegalArgumentException] if it is not a valid document. */
        fun decode(text: String): OwnershipDocument = JSON.decodeFromString(serializer(), text)

        /** The range of [key] in a document with [ranges] ranges. */
        fun rangeOf(key: Int, ranges: Int): Int = (key.toLong() * ranges / KEYS).toInt()

        /** The first key of [range]. */
        fun firstKey(range: Int, ranges: Int): Int = ((range.toLong() * KEYS + ranges - 1) / ranges).toInt()

        /** The last key of [range]. */
        fun lastKey(range: Int, ranges: Int): Int = firstKey(range + 1, ranges) - 1
    }
}
