/*
 * Encodes a message with rows once for all its receivers. Rows of configurations and owners are long texts with many
 * repetitions, and one instance sends them to all others of its failure domain, so they are compressed.
 */
package rhubarbspool.entry

import kotlinx.serialization.Serializable
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Encodes [message] when it is first sent, packed or not. */
internal class RowMessageEncoder(private val message: RowsMessage) {
    private val plain: ByteArray by lazy { PeerTransport.encode(PeerMessage(rows = message)) }
    private val packed: ByteArray by lazy { PeerTransport.encode(PeerMessage(packedRows = PackedRows.pack(plain))) }

    /** The encoded message; [isPacked] if the receiver can unpack it. */
    fun encode(isPacked: Boolean): ByteArray =
        if (isPacked && plain.size >= MINIMUM_PACKED_BYTES) packed else plain

    private companion object {
        /** Smaller messages fit in one or two packets as they are. */
        const val MINIMUM_PACKED_BYTES = 2_048
    }
}

/** A [RowsMessage], compressed. */
@Serializable
internal class PackedRows(private val bytes: ByteArray) {
    /** The message; throws [java.io.IOException] if it can't be unpacked. */
    fun unpack(): RowsMessage? {
        val text = InflaterInputStream(bytes.inputStream()).use { it.readNBytes(MAXIMUM_BYTES + 1) }
        if (text.size > MAXIMUM_BYTES) throw IOException("rows of more than $MAXIMUM_BYTES bytes")
        return PeerTransport.decode(text).rows
    }

    companion object {
        /** Four pages of the platform's table; far above its largest row. */
        private const val MAXIMUM_BYTES = 4 * 1_024 * 1_024

        /** Compresses the encoded message in [bytes]. */
        fun pack(bytes: ByteArray): PackedRows {
            val output = ByteArrayOutputStream()
            val deflater = Deflater(Deflater.BEST_SPEED)
            try {
                DeflaterOutputStream(output, deflater).use { it.write(bytes) }
            } finally {
                deflater.end()
            }
            return PackedRows(output.toByteArray())
        }
    }
}
