/*
 * Which server owns which keys of a service: one document in the platform's table, written before a grant is sent.
 * The key space is divided into equal ranges, far more than servers, so that neighbouring busy keys fall to
 * different servers.
 */
package rhubarbspool.ownership

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

/** One life of a server: a server that starts again under its name is another owner and holds nothing. */
@Serializable
data class Owner(val server: ServerName, val bornWall: Long, val address: Address)

/**
 * Owners of all ranges of a service.
 *
 * @property coordinator the instance that coordinates; load reports go there.
 * @property owners lives that the ranges refer to.
 * @property ownerOf index into [owners] for each range; -1 where nobody owns it.
 * @property fences fencing token of each range; even, so that a holder can be given the odd one after it before it
 * is asked to release.
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

    /** The owner of [range]; null when nobody owns it. */
    fun owner(range: Int): Owner? = owners.getOrNull(ownerOf[range])

    /** This document after [changes], new owners by range; each gets the next even fencing token. */
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
     * This document with the next even token for every range: once an owner has taken a grant with it, grants of
     * earlier coordinators that are still on their way are void.
     */
    fun takenOverBy(coordinator: String): OwnershipDocument =
        copy(fences = fences.map { it + FENCE_STEP }, coordinator = coordinator)

    /** This document as text. */
    fun encode(): String = JSON.encodeToString(serializer(), this)

    companion object {
        /** Number of ranges that a new document has; 64 keys each. */
        const val RANGES: Int = 1_024

        /** Size of the key space. */
        const val KEYS: Int = 65_536

        private const val NO_OWNER = -1
        private const val FENCE_STEP = 2L
        private val JSON = Json { ignoreUnknownKeys = true }

        /** A document without owners. */
        fun empty(ranges: Int = RANGES): OwnershipDocument =
            OwnershipDocument(emptyList(), List(ranges) { NO_OWNER }, List(ranges) { 0L })

        /** Reads [text]; throws [IllegalArgumentException] when it is no document. */
        fun decode(text: String): OwnershipDocument = JSON.decodeFromString(serializer(), text)

        /** The range of [key] in a document of [ranges]. */
        fun rangeOf(key: Int, ranges: Int): Int = (key.toLong() * ranges / KEYS).toInt()

        /** The first key of [range]. */
        fun firstKey(range: Int, ranges: Int): Int = ((range.toLong() * KEYS + ranges - 1) / ranges).toInt()

        /** The last key of [range]. */
        fun lastKey(range: Int, ranges: Int): Int = firstKey(range + 1, ranges) - 1
    }
}
