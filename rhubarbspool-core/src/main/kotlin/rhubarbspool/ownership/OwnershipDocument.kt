/*
 * Maps the keys of a service to the servers that own them: one document in the platform's table, written before a grant
 * is sent. The key space is divided into a few ranges for each server, so that neighbouring busy keys are owned by
 * different servers. Ranges that become hot are split.
 */
package rhubarbspool.ownership

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

/** One incarnation of a server: a server that restarts under the same name is a different owner and holds no ranges. */
@Serializable
data class Owner(val server: ServerName, val bornWall: Long, val address: Address)

/** All keys from [first] to [last], both included. */
data class KeyRange(val first: Int, val last: Int)

/**
 * Owners of all ranges of a service.
 *
 * @property coordinator the coordinating instance, to which load reports are sent.
 * @property owners incarnations that own ranges.
 * @property ownerOf index into [owners] for each range; -1 if the range has no owner.
 * @property fences fencing token of each range; always even, so that the next odd token is free for a fencing grant to
 * the holder before a release.
 * @property starts first key of each range, ascending; ranges of equal size unless given.
 * @property revision grows with each document that is written.
 * @property epoch how often the table had been restored from a copy when the document was written to it.
 */
@Serializable
data class OwnershipDocument(
    val owners: List<Owner>,
    val ownerOf: List<Int>,
    val fences: List<Long>,
    val coordinator: String = "",
    val starts: List<Int> = equalStarts(ownerOf.size),
    val revision: Long = 0,
    val epoch: Long = 0,
) {
    /** Number of ranges. */
    val ranges: Int get() = ownerOf.size

    /** The owner of [range]; null if it has none. */
    fun owner(range: Int): Owner? = owners.getOrNull(ownerOf[range])

    /** The range of [key]. */
    fun rangeOf(key: Int): Int = starts.binarySearch(key).let { if (it >= 0) it else -it - 2 }

    /** The keys of [range]. */
    fun keys(range: Int): KeyRange = KeyRange(starts[range], starts.getOrElse(range + 1) { KEYS } - 1)

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
            starts,
            revision + 1,
        )
    }

    /** Returns this document with a range that starts at each of [keys], with the owner and token of the former one. */
    fun splitAt(keys: Collection<Int>): OwnershipDocument {
        val nextStarts = (starts + keys).distinct().sorted()
        val formerRanges = nextStarts.map(::rangeOf)
        return copy(
            ownerOf = formerRanges.map(ownerOf::get),
            fences = formerRanges.map(fences::get),
            starts = nextStarts,
        )
    }

    /**
     * Returns this document with the next even token for every range: once an owner has accepted a grant with it,
     * grants of earlier coordinators that are still in flight are void. Neighbouring ranges of one owner are joined
     * under the higher of their tokens.
     */
    fun takenOverBy(coordinator: String): OwnershipDocument {
        val kept = ownerOf.indices.filter { it == 0 || ownerOf[it] == NO_OWNER || ownerOf[it] != ownerOf[it - 1] }
        val ends = kept.drop(1) + ranges
        return copy(
            ownerOf = kept.map(ownerOf::get),
            fences = kept.zip(ends) { first, end -> (first until end).maxOf(fences::get) + FENCE_STEP },
            coordinator = coordinator,
            starts = kept.map(starts::get),
            revision = revision + 1,
        )
    }

    /**
     * Returns a document with as many ranges, no owners, and tokens above all that may have followed this one until the
     * last of [restorations] of the table from a copy.
     */
    fun withoutOwners(restorations: Long): OwnershipDocument {
        val fence = fences.max() + restorations * UNKNOWN_FENCES
        return empty(ranges, fence).copy(coordinator = coordinator, revision = revision)
    }

    /** Whether this document is a later revision than the one in [text]; true if there is none. */
    fun isLaterThan(text: String?): Boolean = revision > (text?.let(::decodeOrNull)?.revision ?: -1)

    /** This document as JSON. */
    fun encode(): String = JSON.encodeToString(serializer(), this)

    companion object {
        /** Number of ranges in a new document unless given; 64 keys each. */
        const val RANGES: Int = 1_024

        /** Size of the key space. */
        const val KEYS: Int = 65_536

        private const val NO_OWNER = -1
        private const val FENCE_STEP = 2L

        /** More tokens than a range can use up between two documents, at one move every 80 ms for hours. */
        private const val UNKNOWN_FENCES = 1_000_000L
        private val JSON = Json { ignoreUnknownKeys = true }

        /** A document without owners, whose tokens are [fence]. */
        fun empty(ranges: Int = RANGES, fence: Long = 0): OwnershipDocument =
            OwnershipDocument(emptyList(), List(ranges) { NO_OWNER }, List(ranges) { fence })

        /** Parses [text]; throws [IllegalArgumentException] if it is not a valid document. */
        fun decode(text: String): OwnershipDocument = JSON.decodeFromString(serializer(), text)

        /** Parses [text]; null if it is not a valid document. */
        private fun decodeOrNull(text: String): OwnershipDocument? = try {
            decode(text)
        } catch (_: IllegalArgumentException) {
            null
        }

        private fun equalStarts(ranges: Int): List<Int> =
            List(ranges) { ((it.toLong() * KEYS + ranges - 1) / ranges).toInt() }
    }
}
