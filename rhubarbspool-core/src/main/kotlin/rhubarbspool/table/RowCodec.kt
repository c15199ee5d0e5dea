/*
 * JSON form of row bodies, as the table service stores them and as instances pass them on.
 */
package rhubarbspool.table

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Writes and reads row bodies as JSON. */
object RowCodec {
    private val json = Json {
        classDiscriminator = "row"
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    /** JSON text of [body]. */
    fun encode(body: RowBody): String = json.encodeToString(RowBody.serializer(), body)

    /** Reads [text]; null when it is not a row of this system. */
    fun decode(text: String): RowBody? = try {
        json.decodeFromString(RowBody.serializer(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
