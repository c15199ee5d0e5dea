/*
 * Objects that this instance has seen, so that peers can get them while the object store is out.
 */
package rhubarbspool.controller

import rhubarbspool.edge.ObjectStore
import java.util.concurrent.CompletableFuture

/** Keeps the texts of configurations; [store] is asked for what is not kept. Used on one thread. */
internal class ObjectCache(private val store: ObjectStore) {
    private val textsByHash = HashMap<String, String>()

    /** The kept text under [hash]; null when it is not kept. */
    operator fun get(hash: String): String? = textsByHash[hash]

    /** Keeps [text] under its hash. */
    fun put(text: String): String = ObjectStore.hashOf(text).also { textsByHash[it] = text }

    /** The text under [hash] from here or from the store; null when neither has it. */
    fun fetch(hash: String): CompletableFuture<String?> =
        textsByHash[hash]?.let { CompletableFuture.completedFuture(it) } ?: store.get(hash).exceptionally { null }
}
