/*
 * Stand-in for the platform's store over HTTP: rows in tables, with conditional writes and feeds of changes. Tests
 * inject faults.
 */
package rhubarbspool.standins.instance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpHandler
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Faults to inject. */
enum class StoreFault {
    NONE,

    /** Every call is answered with 503. */
    BUSY,

    /** No call gets a response. */
    SILENT,

    /** Connections are closed without a response. */
    RESET,

    /** Writes are applied but get no response. */
    LOST_WRITES,

    /** Feeds respond 410: the changes after the requested version are no longer kept. */
    HISTORY_LOST,
}

/** Rows in memory; thread-safe. */
class RowStoreStandIn : HttpHandler {
    private class PendingFeed(val table: String, val after: Long, val answer: CompletableFuture<HttpAnswer>)

    private val rows = StoreRows()
    private val pendingFeeds = ArrayList<PendingFeed>()

    /** Fault in force. */
    @Volatile
    var fault: StoreFault = StoreFault.NONE

    /** Calls received. */
    var callCount: Int = 0
        private set

    /** Writes [text] to a row, or removes the row if it is null; returns the row's new version. */
    @Synchronized
    fun put(table: String, key: String, text: String?): Long {
        rows.write(mapOf(RowKey(table, key) to text?.let { Base64.getEncoder().encodeToString(it.toByteArray()) }))
        notifyFeeds()
        return rows.version
    }

    /** The present rows, for [restore]. */
    @Synchronized
    fun backup(): StoreBackup = rows.backup()

    /** Loses all changes since [backup], like a store that returns from a copy. Connections of waiting calls end. */
    @Synchronized
    fun restore(backup: StoreBackup) {
        rows.restore(backup)
        pendingFeeds.forEach { it.answer.completeExceptionally(IllegalStateException("restored")) }
        pendingFeeds.clear()
    }

    /** Value of a row; null if there is no such row. */
    @Synchronized
    fun text(table: String, key: String): String? =
        rows[RowKey(table, key)]?.value?.let { String(Base64.getDecoder().decode(it)) }

    override fun handle(call: HttpCall): CompletableFuture<HttpAnswer> {
        synchronized(this) { callCount++ }
        val write = call.method == "POST"
        return when (fault) {
            StoreFault.BUSY -> rows.respond(BUSY, "{}")
            StoreFault.SILENT -> CompletableFuture()
            StoreFault.RESET -> CompletableFuture.failedFuture(IllegalStateException("reset"))
            StoreFault.LOST_WRITES -> if (write) CompletableFuture<HttpAnswer>().also { serve(call) } else serve(call)
            StoreFault.HISTORY_LOST -> if ("feed" in call.path) rows.respond(GONE, "{}") else serve(call)
            StoreFault.NONE -> serve(call)
        }
    }

    @Synchronized
    private fun serve(call: HttpCall): CompletableFuture<HttpAnswer> {
        val query = call.path.substringAfter('?', "").split('&').filter { '=' in it }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        return when (call.path.substringBefore('?')) {
            "/api/rows-get" -> rows.respond(OK, scan(query).toString())
            "/api/rows-feed" -> feed(query)
            "/api/rows-tx" -> transaction(Json.parseToJsonElement(call.body).jsonObject)
            else -> rows.respond(NOT_FOUND, "{}")
        }
    }

    private fun scan(query: Map<String, String>): JsonObject {
        val matching = rows.select(query.getValue("table")) { key, row ->
            key.key >= query["from"].orEmpty() && row.value != null
        }
        val limit = query["limit"]?.toInt() ?: Int.MAX_VALUE
        return rows.page(matching.entries.take(limit).associate { it.key to it.value })
    }

    private fun feed(query: Map<String, String>): CompletableFuture<HttpAnswer> {
        val pendingFeed = PendingFeed(query.getValue("table"), query.getValue("after").toLong(), CompletableFuture())
        if (pendingFeed.after > rows.version) return rows.respond(GONE, "{}")
        val waitMilliseconds = query["wait_ms"]?.toLong() ?: 0
        pendingFeeds += pendingFeed
        notifyFeeds()
        pendingFeed.answer.completeOnTimeout(
            rows.answer(OK, rows.page(emptyMap()).toString()),
            waitMilliseconds,
            TimeUnit.MILLISECONDS
        )
        return pendingFeed.answer
    }

    private fun notifyFeeds() {
        pendingFeeds.removeAll { it.answer.isDone }
        pendingFeeds.toList().forEach { feed ->
            val changed = rows.select(feed.table) { _, row -> row.version > feed.after }
            if (changed.isNotEmpty()) {
                pendingFeeds -= feed
                feed.answer.complete(rows.answer(OK, rows.page(changed).toString()))
            }
        }
    }

    private fun transaction(body: JsonObject): CompletableFuture<HttpAnswer> {
        fun key(entry: JsonObject) = RowKey(
            entry.getValue("table").jsonPrimitive.content,
            entry.getValue("key").jsonPrimitive.content
        )
        val conditions = body["precondition"]?.jsonArray.orEmpty().map { it.jsonObject }
        val failed = conditions.any { entry ->
            val row = rows[key(entry)]?.takeIf { it.value != null }
            (row?.version ?: 0) != entry.getValue("ver").jsonPrimitive.long
        }
        if (failed) {
            val current = conditions.mapNotNull { entry -> rows[key(entry)]?.let { key(entry) to it } }.toMap()
            return rows.respond(CONFLICT, rows.page(current).toString())
        }
        val written = body["set_keys"]?.jsonArray.orEmpty().map { it.jsonObject }
            .associate { key(it) to it.getValue("value").jsonPrimitive.content }
        val removed = body["remove"]?.jsonArray.orEmpty().map { it.jsonObject }.associate { key(it) to null }
        rows.write(written + removed)
        notifyFeeds()
        return rows.respond(OK, buildJsonObject { put("ver", rows.version) }.toString())
    }
}

private fun StoreRows.page(matching: Map<RowKey, StoredRow>): JsonObject = buildJsonObject {
    put("truncated", JsonPrimitive(false))
    put("ver", version)
    put("now", "0ms")
    put(
        "rows",
        buildJsonArray {
            matching.forEach { (key, row) ->
                addJsonObject {
                    put("table", key.table)
                    put("part", "")
                    put("key", key.key)
                    put("ver", row.version)
                    if (row.value == null) put("deleted", true) else put("value", row.value)
                }
            }
        },
    )
}

private fun StoreRows.respond(status: Int, body: String): CompletableFuture<HttpAnswer> =
    CompletableFuture.completedFuture(answer(status, body))

private fun StoreRows.answer(status: Int, body: String) =
    HttpAnswer(status, JSON_TYPE + ("Store-Era" to "$era"), body)

private const val OK = 200
private const val NOT_FOUND = 404
private const val GONE = 410
private const val CONFLICT = 412
private const val BUSY = 503
private val JSON_TYPE = mapOf("content-type" to "application/json")
