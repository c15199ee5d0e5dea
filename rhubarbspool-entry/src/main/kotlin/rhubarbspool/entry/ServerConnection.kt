/*
 * One connection to a backend server, with the record of what it has carried.
 */
package rhubarbspool.entry

import io.netty.channel.Channel
import io.netty.util.AttributeKey
import rhubarbspool.dispatch.ConnectionRecord
import rhubarbspool.dispatch.Disorder
import rhubarbspool.model.Address

/** Where connections come from and go back to. */
internal interface ConnectionKeeper {
    /** [connection] can carry another request; its server keeps it open for [keepAlive] milliseconds. */
    fun release(connection: ServerConnection, keepAlive: Long)

    /** [connection], which is closed, was out of order by [disorder]. */
    fun onDisorder(connection: ServerConnection, disorder: Disorder)
}

/** The connection of [channel] to the server at [address]. */
internal class ServerConnection(
    val channel: Channel,
    val address: Address,
    private val keeper: ConnectionKeeper,
) {
    private var isClosed = false

    /** The requests that the connection has carried. */
    val record = ConnectionRecord()

    /** Returns the connection, which its server keeps open for [keepAlive] milliseconds. */
    fun release(keepAlive: Long) = keeper.release(this, keepAlive)

    /** Closes the connection. */
    fun close() {
        channel.close()
        if (isClosed) return
        isClosed = true
        record.disorder?.let { keeper.onDisorder(this, it) }
    }

    companion object {
        /** The connection of a channel. */
        val KEY: AttributeKey<ServerConnection> = AttributeKey.valueOf("rhubarbspool.connection")
    }
}
