/*
 * Client of the platform's object store. An object is immutable and named by the SHA-256 hash of its text.
 */
package rhubarbspool.edge

import com.google.common.hash.Hashing
import rhubarbspool.model.Address
import java.util.concurrent.CompletableFuture

/** The platform's object store. */
interface ObjectStore {
    /** Stores [text] and returns its name, for [get]. Fails when the store doesn't confirm the write. */
    fun put(text: String): CompletableFuture<String>

    /** Returns the text named [hash], or null when there is none. Fails when the store doesn't respond. */
    fun get(hash: String): CompletableFuture<String?>

    companion object {
        /** Returns the name of an object with [text]: its SHA-256 hash in hexadecimal. */
        fun hashOf(text: String): String = Hashing.sha256().hashString(text, Charsets.UTF_8).toString()
    }
}

/** Accesses the object store at [address] over HTTP. */
class HttpObjectStore(private val client: HttpClient, private val address: Address) : ObjectStore {
    override fun put(text: String): CompletableFuture<String> {
        val hash = ObjectStore.hashOf(text)
        return client.send(address, HttpCall("PUT", "/objects/$hash", text)).thenApply { answer ->
            check(answer.status in SUCCESS) { "object store responded with status ${answer.status}" }
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
