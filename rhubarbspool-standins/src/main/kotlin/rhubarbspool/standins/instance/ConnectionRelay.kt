/*
 * Relays connections to another address. Connections that are open can be made silent for good: no byte is passed on in
 * either direction, and neither side learns of it. New connections work.
 */
package rhubarbspool.standins.instance

import rhubarbspool.model.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Relays connections to [target] until it is closed. */
class ConnectionRelay(private val target: Address) : AutoCloseable {
    private val listening = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()
    private val accepting = thread { acceptAll() }

    /** Listen address of the relay. */
    val address = Address("127.0.0.1", listening.localPort)

    /** Makes the open connections silent whose last request line matches [selects]; returns their number. */
    fun silence(selects: (String) -> Boolean = { true }): Int {
        val selected = connections.filter { it.isOpen && selects(it.lastRequestLine) }
        selected.forEach { it.isSilent = true }
        return selected.size
    }

    override fun close() {
        listening.close()
        accepting.join()
        connections.forEach { it.close() }
    }

    private fun acceptAll() = try {
        while (true) {
            connections += RelayedConnection(listening.accept(), Socket(target.host, target.port)).also { it.start() }
        }
    } catch (_: IOException) {
        // The test has ended.
    }

    private companion object {
        const val BACKLOG = 100
    }
}

/** Passes on what [client] and [server] send to each other, until it [isSilent]. */
private class RelayedConnection(private val client: Socket, private val server: Socket) {
    @Volatile
    var isSilent = false

    @Volatile
    var lastRequestLine = ""
        private set

    val isOpen: Boolean get() = !client.isClosed

    fun start() {
        client.tcpNoDelay = true
        server.tcpNoDelay = true
        thread(isDaemon = true) {
            pass(client, server) { bytes, length ->
                String(bytes, 0, length).lineSequence().first().takeIf { "HTTP/" in it }?.let { lastRequestLine = it }
            }
        }
        thread(isDaemon = true) { pass(server, client) { _, _ -> } }
    }

    fun close() {
        client.close()
        server.close()
    }

    private fun pass(from: Socket, to: Socket, observe: (ByteArray, Int) -> Unit) = try {
        val bytes = ByteArray(BUFFER_BYTES)
        var length = from.getInputStream().read(bytes)
        while (length >= 0) {
            observe(bytes, length)
            if (!isSilent) to.getOutputStream().write(bytes, 0, length)
            length = from.getInputStream().read(bytes)
        }
        end()
    } catch (_: IOException) {
        end()
    }

    private fun end() {
        if (isSilent) client.close() else close()
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
