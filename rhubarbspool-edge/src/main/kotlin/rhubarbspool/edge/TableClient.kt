/*
 * Client of the platform's table service. A transaction without a response has an unknown outcome.
 */
package rhubarbspool.edge

import kotlinx.serialization.encodeToString
import rhubarbspool.model.Address
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

/** One page of changed rows; complete up to [revision] when [more] is false. */
data class ScanResult(val revision: Long, val rows: List<VersionedRow>, val more: Boolean)

/** The platform's table service. */
interface TableClient {
    /** Commits [transaction]. The future never fails: an unclear outcome is [CommitResult.Unknown]. */
    fun commit(transaction: Transaction): CompletableFuture<CommitResult>

    /** Returns rows under [prefixes] with versions after [after]; fails when the table doesn't respond with rows. */
    fun scan(prefixes: List<String>, after: Long): CompletableFuture<ScanResult>

    /** Returns the rows under [keys] that exist or existed; fails when the table doesn't respond with rows. */
    fun read(keys: List<String>): CompletableFuture<List<VersionedRow>>
}

/** Accesses the table service at [address] over HTTP; [writes] and [reads] count the calls. */
class HttpTableClient(private val client: HttpClient, private val address: Address) : TableClient {
    /** Number of transactions sent. */
    val writes: AtomicLong = AtomicLong()

    /** Number of reads and scans sent. */
    val reads: AtomicLong = AtomicLong()

    override fun commit(transaction: Transaction): CompletableFuture<CommitResult> {
        writes.incrementAndGet()
        val call =
            HttpCall("POST", "/v1/transactions", platformJson.encodeToString(transaction.toMessage()), JSON_HEADERS)
        return client.send(address, call).handle { answer, _ ->
            when (answer?.status) {
                STATUS_OK -> CommitResult.Committed(parseRows(answer).rows)
                STATUS_CONFLICT -> CommitResult.Conflict(parseRows(answer).rows)
                else -> CommitResult.Unknown
            }
        }
    }

    override fun scan(prefixes: List<String>, after: Long): CompletableFuture<ScanResult> {
        reads.incrementAndGet()
        val path = "/v1/rows?prefix=${prefixes.joinToString(",")}&after=$after"
        return client.send(address, HttpCall("GET", path)).thenApply { parseRows(requireOk(it)) }
    }

    override fun read(keys: List<String>): CompletableFuture<List<VersionedRow>> {
        reads.incrementAndGet()
        val call = HttpCall("POST", "/v1/read", platformJson.encodeToString(ReadMessage(keys)), JSON_HEADERS)
        return client.send(address, call).thenApply { parseRows(requireOk(it)).rows }
    }

    private fun requireOk(answer: HttpAnswer): HttpAnswer =
        answer.also { check(it.status == STATUS_OK) { "table service responded with status ${it.status}" } }

    private fun parseRows(answer: HttpAnswer): ScanResult {
        val message = platformJson.decodeFromString<RowsMessage>(answer.body)
        return ScanResult(message.revision, message.rows.map { it.toRow() }, message.more)
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409
        val JSON_HEADERS = mapOf("content-type" to "application/json")
    }
}
