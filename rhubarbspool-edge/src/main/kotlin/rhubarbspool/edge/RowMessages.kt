/*
 * Rows on the way between the system's own processes.
 */
package rhubarbspool.edge

import com.google.protobuf.ByteString
import rhubarbspool.protocol.Row
import rhubarbspool.table.RowCodec
import rhubarbspool.table.VersionedRow

/** The message for this row. */
fun VersionedRow.toMessage(): Row = Row.newBuilder()
    .setKey(key)
    .setVersion(version)
    .setWriteId(writeId)
    .setBody(body?.let { ByteString.copyFromUtf8(RowCodec.encode(it)) } ?: ByteString.EMPTY)
    .build()

/** The row of this message. */
fun Row.toVersionedRow(): VersionedRow {
    val text = body.takeUnless { it.isEmpty }?.toStringUtf8()
    return VersionedRow(key, version, writeId, text?.let(RowCodec::decode))
}
