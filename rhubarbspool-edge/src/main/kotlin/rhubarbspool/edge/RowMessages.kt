/*
 * Conversion of table rows to and from the protobuf messages between the system's processes.
 */
package rhubarbspool.edge

import com.google.protobuf.ByteString
import rhubarbspool.protocol.Row
import rhubarbspool.table.RowCodec
import rhubarbspool.table.VersionedRow

/** Converts this row to its message; a deleted row has an empty body. */
fun VersionedRow.toMessage(): Row = Row.newBuilder()
    .setKey(key)
    .setVersion(version)
    .setWriteId(writeId)
    .setBody(body?.let { ByteString.copyFromUtf8(RowCodec.encode(it)) } ?: ByteString.EMPTY)
    .build()

/** Converts this message to a row; an empty body means that the row was deleted. */
fun Row.toVersionedRow(): VersionedRow {
    val text = body.takeUnless { it.isEmpty }?.toStringUtf8()
    return VersionedRow(key, version, writeId, text?.let(RowCodec::decode))
}
