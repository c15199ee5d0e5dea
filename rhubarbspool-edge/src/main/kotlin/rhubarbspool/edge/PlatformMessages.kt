/*
 * JSON messages of the platform's table service.
 */
package rhubarbspool.edge

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import rhubarbspool.table.Condition
import rhubarbspool.table.RowCodec
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow

/** A row on the wire; [body] is null for a deleted row. */
@Serializable
data class RowMessage(val key: String, val version: Long, val writeId: String = "", val body: JsonElement? = null)

/** The condition that the row under [key] has [version]. */
@Serializable
data class ConditionMessage(val key: String, val version: Long)

/** One write of a transaction. */
@Serializable
data class WriteMessage(val key: String, val body: JsonElement? = null, val expireAfterSeconds: Long? = null)

/** A transaction on the wire. */
@Serializable
data class TransactionMessage(
    val writeId: String,
    val conditions: List<ConditionMessage>,
    val writes: List<WriteMessage>,
)

/** The answer to a read or a transaction; [revision] is the table's last commit that the rows include. */
@Serializable
data class RowsMessage(val revision: Long = 0, val rows: List<RowMessage> = emptyList(), val more: Boolean = false)

/** Keys to read. */
@Serializable
data class ReadMessage(val keys: List<String>)

/** One line of the platform's list of instances, which lags. */
@Serializable
data class InstanceMessage(val name: String, val domain: String, val leaving: Boolean = false)

/** The platform's list of instances. */
@Serializable
data class InstancesMessage(val instances: List<InstanceMessage>)

/** JSON format of the platform's messages. */
val platformJson: Json = Json { ignoreUnknownKeys = true }

internal fun Transaction.toMessage() = TransactionMessage(
    writeId,
    conditions.map { ConditionMessage(it.key, it.version) },
    writes.map { write ->
        val body = write.body?.let { platformJson.parseToJsonElement(RowCodec.encode(it)) }
        WriteMessage(write.key, body, write.expireAfterSeconds)
    },
)

internal fun RowMessage.toRow() =
    VersionedRow(key, version, writeId, body?.let { RowCodec.decode(it.toString()) })

/** Reads a condition message. */
fun ConditionMessage.toCondition(): Condition = Condition(key, version)
