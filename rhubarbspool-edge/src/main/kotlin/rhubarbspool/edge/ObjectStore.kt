/*
 * Access to the platform's object store. Objects are named by the hash of their text and never change.
 */
package rhubarbspool.edge

import com.google.common.hash.Hashing
import rhubarbspool.model.Address
import java.util.concurrent.CompletableFuture

/** The platform's object store. */
interface ObjectStore {
    /** Keeps [text]; the name it can be fetched under. Fails when the store does not confirm. */
    fun put(text: String): CompletableFuture<String>

    /** The text under [hash]; null when there is none. Fails when the store does not answer. */
    fun get(hash: String): CompletableFuture<String?>

    companion object {
        /** Name of an object with [text]. */
        fun hashOf(text: String): String = Hashing.sha256().hashString(text, Charsets.UTF_8).toString()
    }
}

/** The object store over HTTP at [address]. */
class HttpObjectStore(private val client: HttpClient, private val address: Address) : ObjectStore {
    override fun put(text: String): CompletableFuture<String> {
        val hash = ObjectStore.hashOf(text)
        return client.send(address, HttpCall("PUT", "/objects/$hash", text)).thenApply { answer ->
            check(answer.status in SUCCESS) { "object store answered ${answer.status}" }
            hash
        }
    }

    override fun get(hash: String): CompletableFuture<String?> =
        client.send(address, HttpCall("GET", "/objects/$hash")).thenApply { answer ->
            answer.body.takeIf { answer.status in SUCCESS && ObjectStore.hashOf(it) == hash }
        }

    private companion object {
        val SUCCESS = 200..299
    }
}
