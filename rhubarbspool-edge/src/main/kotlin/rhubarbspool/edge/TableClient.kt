/*
 * Access to the platform's table service. Every failure to get an answer counts as an unknown outcome.
 */
package rhubarbspool.edge

import kotlinx.serialization.encodeToString
import rhubarbspool.model.Address
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

/** Rows that changed, complete up to [revision] when [more] is false. */
data class ScanResult(val revision: Long, val rows: List<VersionedRow>, val more: Boolean)

/** The platform's table service. */
interface TableClient {
    /** Commits [transaction]; never fails, an unclear outcome is [CommitResult.Unknown]. */
    fun commit(transaction: Transaction): CompletableFuture<CommitResult>

    /** Rows under [prefixes] with versions after [after]; fails when the table does not answer. */
    fun scan(prefixes: List<String>, after: Long): CompletableFuture<ScanResult>

    /** The rows under [keys], those that never existed left out; fails when the table does not answer. */
    fun read(keys: List<String>): CompletableFuture<List<VersionedRow>>
}

/** The table service over HTTP at [address]; [writes] and [reads] count the calls. */
class HttpTableClient(private val client: HttpClient, private val address: Address) : TableClient {
    /** Transactions sent. */
    val writes: AtomicLong = AtomicLong()

    /** Reads and scans sent. */
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
        answer.also { check(it.status == STATUS_OK) { "table service answered ${it.status}" } }

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
