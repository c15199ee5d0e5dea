/*
 * JSON messages of the platform's table service and instance list.
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

/** Response to a read, scan or transaction; [revision] is the table's last commit that the rows include. */
@Serializable
data class RowsMessage(val revision: Long = 0, val rows: List<RowMessage> = emptyList(), val more: Boolean = false)

/** Request to read the rows under [keys]. */
@Serializable
data class ReadMessage(val keys: List<String>)

/** One entry of the platform's list of instances, which may be out of date. */
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

/** Converts this message to a condition. */
fun ConditionMessage.toCondition(): Condition = Condition(key, version)
