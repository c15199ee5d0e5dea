/*
 * JSON encoding of row bodies, as stored by the table service and exchanged by instances.
 */
package rhubarbspool.table

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes row bodies as JSON. */
object RowCodec {
    private val json = Json {
        classDiscriminator = "row"
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    /** JSON text of [body]. */
    fun encode(body: RowBody): String = json.encodeToString(RowBody.serializer(), body)

    /** Decodes [text]; null if it is not a row body of this system. */
    fun decode(text: String): RowBody? = try {
        json.decodeFromString(RowBody.serializer(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
