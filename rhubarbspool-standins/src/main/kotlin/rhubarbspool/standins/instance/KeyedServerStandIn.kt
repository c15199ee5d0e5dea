/*
 * Stand-in for a backend server of the platform: runs requests and accepts fenced grants of key ranges.
 */
package rhubarbspool.standins.instance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Faults to inject. */
enum class ServerFault {
    NONE,

    /** Requests are run, then the connection is closed without a response. */
    ANSWER_LOST,

    /** Requests are run and answered 500. */
    FAILING,

    /** Requests are rejected with 503 without being run. */
    SHEDDING,
}

/** Server [id]; if [sharded], it runs only requests for keys that are granted to it. */
class KeyedServerStandIn(
    private val id: String,
    private val sharded: Boolean,
    private val workMilliseconds: Long = 2
) : HttpHandler {
    private val granted = GrantedKeys()
    private val runs = ArrayList<String>()
    private val arrivalTimes = CopyOnWriteArrayList<Long>()

    /** Fault in force. */
    @Volatile
    var fault: ServerFault = ServerFault.NONE

    /** Requests per second that the server names in its responses as its limit; null for none. */
    @Volatile
    var limit: Double? = null

    /** Whether the server says in its responses that it leaves. */
    @Volatile
    var isLeaving: Boolean = false

    /** Seconds for which the server wants no request, as it says when it sheds one; null if it doesn't say. */
    @Volatile
    var retryAfter: String? = null

    private val retryAfterHeader get() = retryAfter?.let { mapOf("Retry-After" to it) }.orEmpty()

    /** Times at which requests arrived, including rejected ones, in nanoseconds. */
    val arrivals: List<Long> get() = arrivalTimes.toList()

    /** Ids of the requests that were run, in the order of their start. */
    @Synchronized
    fun runs(): List<String> = runs.toList()

    /** Key ranges whose grants have not expired. */
    @Synchronized
    fun heldRanges(): Set<IntRange> = granted.held(System.nanoTime())

    @Synchronized
    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> = when (call.path) {
        "/api/grant" -> CompletableFuture.completedFuture(grant(Json.parseToJsonElement(call.body).jsonObject))
        "/api/release" -> CompletableFuture.completedFuture(release(Json.parseToJsonElement(call.body).jsonObject))
        "/healthz" -> CompletableFuture.completedFuture(HttpAnswer(OK, mapOf("Rhubarbspool-Instance-Id" to id), ""))
        else -> respond(call)
    }

    private fun grant(body: JsonObject): HttpAnswer {
        val fence = body.getValue("fence").jsonPrimitive.long
        val holdMilliseconds = body.getValue("hold_time").jsonPrimitive.content.removeSuffix("ms").toLong()
        val expiresAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMilliseconds)
        val accepted = granted.grant(rangeOf(body), fence, expiresAt)
        return if (accepted) HttpAnswer(OK, emptyMap(), "{}") else HttpAnswer(REFUSED, emptyMap(), "")
    }

    private fun release(body: JsonObject): HttpAnswer {
        granted.release(rangeOf(body))
        return HttpAnswer(OK, mapOf("Rhubarbspool-Handover" to "handover-$id"), "{}")
    }

    private fun rangeOf(body: JsonObject) =
        body.getValue("from").jsonPrimitive.int..body.getValue("target").jsonPrimitive.int

    private fun respond(call: HttpCall): CompletableFuture<HttpAnswer> {
        arrivalTimes += System.nanoTime()
        val requestId = call.headers["rhubarbspool-request-id"].orEmpty()
        val echo = mapOf("Rhubarbspool-Request-Id" to requestId, "Rhubarbspool-Server-Load" to "1,0,2,100") +
            limit?.let { mapOf("Server-Limit" to "$it") }.orEmpty() +
            (if (isLeaving) mapOf("Server-Leaving" to "1") else emptyMap())
        val wrongServer = call.headers["rhubarbspool-target-instance"]?.let { it != id } ?: false
        return when {
            wrongServer || !owns(call.headers["rhubarbspool-shard-key"]?.toIntOrNull()) ->
                respondLater(HttpAnswer(MISDIRECTED, echo + NOT_RUN, ""))
            fault == ServerFault.SHEDDING -> respondLater(HttpAnswer(BUSY, echo + NOT_RUN + retryAfterHeader, ""))
            else -> run(requestId, call, echo)
        }
    }

    private fun owns(key: Int?): Boolean =
        !sharded || granted.held(System.nanoTime()).any { key in it }

    private fun run(requestId: String, call: HttpCall, echo: Map<String, String>): CompletableFuture<HttpAnswer> {
        runs += requestId
        val signedHeaders = echo + ("Rhubarbspool-Server-Signature" to "proof-$requestId")
        val status = if (fault == ServerFault.FAILING) FAILED else OK
        val answer = HttpAnswer(status, signedHeaders, "$id ${call.method} ${call.path} ${call.body}")
        val isDropped = fault == ServerFault.ANSWER_LOST
        return if (isDropped) CompletableFuture.failedFuture(IllegalStateException("lost")) else respondLater(answer)
    }

    private fun respondLater(answer: HttpAnswer): CompletableFuture<HttpAnswer> =
        CompletableFuture<HttpAnswer>().completeOnTimeout(answer, workMilliseconds, TimeUnit.MILLISECONDS)

    private companion object {
        const val OK = 200
        const val REFUSED = 409
        const val MISDIRECTED = 421
        const val FAILED = 500
        const val BUSY = 503
        val NOT_RUN = mapOf("Rhubarbspool-Not-Executed" to "1")
    }
}
