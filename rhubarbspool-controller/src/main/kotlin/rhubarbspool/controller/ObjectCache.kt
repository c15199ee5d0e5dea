/*
 * Cache of the objects that this instance uses, so that peers can fetch them while the object store is unavailable.
 */
package rhubarbspool.controller

import rhubarbspool.edge.ObjectStore
import java.util.concurrent.CompletableFuture

/** Caches the texts of configurations and reads others from [store]. Not thread-safe; used on the event loop only. */
internal class ObjectCache(private val store: ObjectStore) {
    private val textsByHash = HashMap<String, String>()

    /** The cached text with [hash], or null if it is not in the cache. */
    operator fun get(hash: String): String? = textsByHash[hash]

    /** Adds [text] to the cache and returns its hash. */
    fun put(text: String): String = ObjectStore.hashOf(text).also { textsByHash[it] = text }

    /** The text with [hash] from the cache or the store; null if neither has it or the store failed. */
    fun fetch(hash: String): CompletableFuture<String?> =
        textsByHash[hash]?.let { CompletableFuture.completedFuture(it) } ?: store.get(hash).exceptionally { null }
}
