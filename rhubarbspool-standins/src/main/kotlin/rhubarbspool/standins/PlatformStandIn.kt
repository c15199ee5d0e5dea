/*
 * Stand-in for the platform: table service, object store and list of instances behind one HTTP address, and
 * fault injection at `/faults`.
 */
package rhubarbspool.standins

import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.encodeToString
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpHandler
import rhubarbspool.edge.HttpService
import rhubarbspool.edge.InstancesMessage
import rhubarbspool.edge.ReadMessage
import rhubarbspool.edge.TransactionMessage
import rhubarbspool.edge.platformJson
import rhubarbspool.model.Address
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** The platform's services on one address. */
class PlatformStandIn(private val group: EventLoopGroup, private val random: Random = Random(1)) : HttpHandler {
    private val table = TableStandIn()
    private val objects = ConcurrentHashMap<String, String>()

    /** Active faults. */
    @Volatile
    var faults: PlatformFaults = PlatformFaults()

    @Volatile
    private var instances = InstancesMessage(emptyList())

    /** Listens on [address]. */
    fun listen(address: Address): Channel = HttpService(group, this).listen(address)

    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> = when (call.path) {
        "/faults" -> CompletableFuture.completedFuture(updateFaults(call))
        "/counts" -> CompletableFuture.completedFuture(ok(platformJson.encodeToString(table.counts())))
        else -> if (faults.outage) CompletableFuture() else respondWithFaults(call, faults)
    }

    private fun respondWithFaults(call: HttpCall, active: PlatformFaults): CompletableFuture<HttpAnswer> {
        val answer = answer(call)
        val result = CompletableFuture<HttpAnswer>()
        val lost = call.path == TRANSACTIONS && random.nextDouble() < active.loseRepliesFraction
        val finish =
            Runnable { if (lost) result.completeExceptionally(IOException("reply lost")) else result.complete(answer) }
        if (active.delayMilliseconds == 0L) {
            finish.run()
        } else {
            group.next().schedule(finish, active.delayMilliseconds, TimeUnit.MILLISECONDS)
        }
        return result
    }

    private fun updateFaults(call: HttpCall): HttpAnswer {
        if (call.method != "GET") faults = platformJson.decodeFromString(call.body)
        return ok(platformJson.encodeToString(faults))
    }

    private fun answer(call: HttpCall): HttpAnswer {
        val path = call.path.substringBefore('?')
        return when {
            path == TRANSACTIONS -> transact(platformJson.decodeFromString(call.body))
            path == "/v1/rows" -> scan(parameters(call.path))
            path == "/v1/read" -> {
                val keys = platformJson.decodeFromString<ReadMessage>(call.body).keys
                ok(platformJson.encodeToString(table.read(keys, System.currentTimeMillis())))
            }

            path == "/v1/instances" -> listInstances(call)
            path.startsWith(OBJECTS) -> objectAt(path.removePrefix(OBJECTS), call)
            else -> HttpAnswer(NOT_FOUND, emptyMap(), "")
        }
    }

    private fun transact(message: TransactionMessage): HttpAnswer {
        val outcome = table.commit(message, System.currentTimeMillis())
        return ok(platformJson.encodeToString(outcome.answer)).copy(status = if (outcome.committed) OK else CONFLICT)
    }

    private fun scan(parameters: Map<String, String>): HttpAnswer {
        val newest = parameters["newest"]?.toInt()
        val prefixes = parameters["prefix"].orEmpty().split(',')
        val message = if (newest != null) {
            table.newest(prefixes.first(), newest)
        } else {
            table.scan(prefixes, parameters["after"]?.toLong() ?: 0, PAGE_ROWS)
        }
        return ok(platformJson.encodeToString(message))
    }

    private fun listInstances(call: HttpCall): HttpAnswer {
        if (call.method == "PUT") instances = platformJson.decodeFromString(call.body)
        return ok(platformJson.encodeToString(instances))
    }

    private fun objectAt(name: String, call: HttpCall): HttpAnswer {
        if (call.method == "PUT") objects[name] = call.body
        return objects[name]?.let { ok(it) } ?: HttpAnswer(NOT_FOUND, emptyMap(), "")
    }

    private fun ok(body: String) = HttpAnswer(OK, mapOf("content-type" to "application/json"), body)

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val PAGE_ROWS = 5_000
        const val TRANSACTIONS = "/v1/transactions"
        const val OBJECTS = "/objects/"
    }
}

/** Query parameters of [path]. */
private fun parameters(path: String): Map<String, String> =
    path.substringAfter('?', "").split('&').filter { '=' in it }
        .associate { it.substringBefore('=') to it.substringAfter('=') }
