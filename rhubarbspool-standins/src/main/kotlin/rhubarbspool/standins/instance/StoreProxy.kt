/*
 * An address of the stand-in store that can stop responding while its other addresses keep working.
 */
package rhubarbspool.standins.instance

import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpHandler
import rhubarbspool.model.Address
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList

/** Forwards calls to [store]. */
class StoreProxy(private val store: HttpHandler) : HttpHandler {
    /** Listen address of the proxy. */
    lateinit var address: Address

    /** While true, no call gets a response, including calls that are already waiting for one. */
    @Volatile
    var isSilent: Boolean = false

    /** Paths of the calls so far, with their queries. */
    val calls: MutableList<String> = CopyOnWriteArrayList()

    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> {
        calls += call.path
        return if (isSilent) CompletableFuture() else store.handle(call).thenCompose(::respondUnlessSilent)
    }

    private fun respondUnlessSilent(answer: HttpAnswer): CompletableFuture<HttpAnswer> =
        if (isSilent) CompletableFuture() else CompletableFuture.completedFuture(answer)
}
