/*
 * An address of the store that can fall silent while others serve.
 */
package rhubarbspool.standins.instance

import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpHandler
import rhubarbspool.model.Address
import java.util.concurrent.CompletableFuture

/** Passes calls on to [store]. */
class StoreProxy(private val store: HttpHandler) : HttpHandler {
    /** Where it listens. */
    lateinit var address: Address

    /** Whether nothing is answered, calls that wait already included. */
    @Volatile
    var isSilent: Boolean = false

    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> =
        if (isSilent) CompletableFuture() else store.handle(call).thenCompose(::respondUnlessSilent)

    private fun respondUnlessSilent(answer: HttpAnswer): CompletableFuture<HttpAnswer> =
        if (isSilent) CompletableFuture() else CompletableFuture.completedFuture(answer)
}
