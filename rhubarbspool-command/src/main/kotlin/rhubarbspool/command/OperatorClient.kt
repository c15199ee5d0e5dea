/*
 * Blocking client of the command line for the services of the platform and for the controllers.
 */
package rhubarbspool.command

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.StatusRuntimeException
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import rhubarbspool.edge.Channels
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpClient
import rhubarbspool.edge.HttpObjectStore
import rhubarbspool.edge.HttpTableClient
import rhubarbspool.edge.RowsMessage
import rhubarbspool.edge.platformJson
import rhubarbspool.edge.toMessage
import rhubarbspool.model.Address
import rhubarbspool.protocol.PeerGrpc
import rhubarbspool.protocol.RowBatch
import rhubarbspool.protocol.StatusReply
import rhubarbspool.protocol.StatusRequest
import rhubarbspool.table.AuditBody
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.MemberBody
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowBody
import rhubarbspool.table.RowCodec
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow
import rhubarbspool.table.Write
import rhubarbspool.table.resolve
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** A service of the platform did not answer or reported an error. */
internal class PlatformUnavailableException(cause: Throwable?) : RuntimeException("the platform does not answer", cause)

/** Change of the row with [key] to [body], and what the audit trail records about it. */
internal data class OperatorChange(
    val key: String,
    val body: RowBody,
    val author: String,
    val action: String,
    val cause: String,
)

/** Entry of the audit trail, with the key and version of its row. */
internal data class AuditLine(val key: String, val version: Long, val audit: AuditBody)

/** Connects to the services at [platform], and to controllers as needed, for the duration of one command. */
internal class OperatorClient(platform: Address) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpClient(group, PLATFORM_TIMEOUT_MILLISECONDS)
    private val table = HttpTableClient(http, platform)
    private val objects = HttpObjectStore(http, platform)
    private val channels = Channels(group, keepAlive = false)
    private val platformAddress = platform

    /** Reads all shared rows of the table, page by page. */
    fun fetchRows(): RowTable {
        val rows = RowTable()
        var after = 0L
        do {
            val page = await(table.scan(RowKeys.SHARED_PREFIXES, after))
            page.rows.forEach(rows::merge)
            after = page.revision
        } while (page.more)
        return rows
    }

    /** Writes [text] to the object store and returns its hash. */
    fun storeObject(text: String): String = await(objects.put(text))

    /** Reads the object with [hash] from the object store; null if there is none. */
    fun fetchObject(hash: String): String? = await(objects.get(hash))

    /**
     * Writes [change], together with its audit entry, on condition that the row still has [version]. If the outcome is
     * unknown because a reply was lost, the same transaction is sent again.
     */
    fun write(change: OperatorChange, version: Long, previousBody: String): CommitResult {
        val writeId = "operator.${UUID.randomUUID()}"
        val now = System.currentTimeMillis()
        val audit = AuditBody(
            change.author,
            change.action,
            change.key,
            previousBody,
            RowCodec.encode(change.body),
            change.cause,
            now,
        )
        val transaction = Transaction(
            writeId,
            listOf(Condition(change.key, version)),
            listOf(Write(change.key, change.body), Write(RowKeys.audit(now, writeId), audit)),
        )
        repeat(MAXIMUM_ATTEMPTS) {
            val result = await(table.commit(transaction)).resolve(transaction)
            if (result !is CommitResult.Unknown) return result
        }
        return CommitResult.Unknown
    }

    /** The last [count] entries of the audit trail, newest first. */
    fun fetchAuditLines(count: Int): List<AuditLine> {
        val response = await(http.send(platformAddress, HttpCall("GET", "/v1/rows?prefix=audit/&newest=$count")))
        return platformJson.decodeFromString<RowsMessage>(response.body).rows.mapNotNull { row ->
            val audit = row.body?.let { RowCodec.decode(it.toString()) } as? AuditBody
            audit?.let { AuditLine(row.key, row.version, it) }
        }
    }

    /** Pushes [row] to a few random [members], so that they needn't wait until they read it from the table. */
    fun pushRow(members: Collection<MemberBody>, row: VersionedRow) {
        val batch = RowBatch.newBuilder().addRows(row.toMessage()).build()
        members.shuffled().take(PUSHED_INSTANCES).forEach { member -> callController(member) { push(batch) } }
    }

    /** Status of the controller of [member]; null if the call failed or timed out. */
    fun status(member: MemberBody): StatusReply? = callController(member) { status(StatusRequest.getDefaultInstance()) }

    override fun close() {
        channels.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun <T> callController(member: MemberBody, call: PeerGrpc.PeerBlockingStub.() -> T): T? = try {
        PeerGrpc.newBlockingStub(channels.channel(member.controller))
            .withDeadlineAfter(CONTROLLER_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS).call()
    } catch (exception: StatusRuntimeException) {
        logger.debug(exception) { "call to the controller of ${member.instance} failed" }
        null
    }

    private fun <T> await(future: CompletableFuture<T>): T = try {
        future.get()
    } catch (exception: ExecutionException) {
        throw PlatformUnavailableException(exception)
    }

    private companion object {
        const val PLATFORM_TIMEOUT_MILLISECONDS = 5_000L
        const val CONTROLLER_TIMEOUT_MILLISECONDS = 1_000L
        const val MAXIMUM_ATTEMPTS = 3
        const val PUSHED_INSTANCES = 3
    }
}

/** Members in state [MemberState.ACTIVE]. */
internal fun RowTable.activeMembers(): List<MemberBody> =
    members.values.map { it.member }.filter { it.state == MemberState.ACTIVE }
