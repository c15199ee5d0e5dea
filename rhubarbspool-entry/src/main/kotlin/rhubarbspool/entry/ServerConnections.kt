/*
 * Pool of HTTP connections to backend servers. A connection carries one request at a time. Idle connections are kept
 * for less than the server's own limit. A connection that delivers anything but the response to its request is closed,
 * and connections to its server are not reused for a while. Open connections may go silent for good, often several
 * together: when one that was reused has delivered nothing for long, those that gave no sign of life since are not used
 * again.
 */
package rhubarbspool.entry

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import rhubarbspool.dispatch.ConnectionReuse
import rhubarbspool.dispatch.Disorder
import rhubarbspool.edge.UnsolicitedBytesHandler
import rhubarbspool.model.Address
import java.util.ArrayDeque

/** Is told about connections that are out of order. */
internal fun interface DisorderListener {
    /**
     * A connection to [address] was out of order by [disorder]; connections to it are not reused for [milliseconds], or
     * were not reused before if that is null.
     */
    fun onDisorder(address: Address, disorder: Disorder, milliseconds: Long?)
}

/** Opens, reuses and closes connections; used on the event loop only. */
internal class ServerConnections(
    private val group: EventLoopGroup,
    private val clock: () -> Long,
    private val listener: DisorderListener,
) : ConnectionKeeper {
    private class IdleConnection(val connection: ServerConnection, val idleSince: Long, val maximumIdleTime: Long) {
        fun isStale(now: Long): Boolean = now - idleSince > maximumIdleTime || !connection.channel.isActive
    }

    private val reuse = ConnectionReuse()
    private val idle = HashMap<Address, ArrayDeque<IdleConnection>>()

    /** Number of connections opened so far. */
    var openedCount: Long = 0
        private set

    /**
     * Passes a connection for the request with [id] to [onConnection], or null if none can be opened; a reused one has
     * been idle for at most [maximumIdle] milliseconds.
     */
    fun acquire(address: Address, maximumIdle: Long, id: String, onConnection: (ServerConnection?) -> Unit) {
        val reused = pollIdle(address, maximumIdle, id)
        if (reused != null) onConnection(reused) else connect(address, onConnection)
    }

    override fun release(connection: ServerConnection, keepAlive: Long) {
        val now = clock()
        val isReusable = connection.record.isReusable && reuse.isAllowed(connection.address, now)
        if (!isReusable || !connection.channel.isActive) return connection.close()
        connection.channel.config().isAutoRead = true
        idle.getOrPut(connection.address) { ArrayDeque() }
            .addFirst(IdleConnection(connection, now, keepAlive * KEEP_ALIVE_PERCENT / PERCENT))
    }

    override fun onDisorder(connection: ServerConnection, disorder: Disorder) {
        val milliseconds = reuse.onDisorder(connection.address, clock())
        listener.onDisorder(connection.address, disorder, milliseconds)
        idle.remove(connection.address)?.forEach { it.connection.channel.close() }
    }

    /** Closes connections that have been idle for too long. */
    fun closeIdle() {
        val now = clock()
        idle.values.forEach { connections ->
            while (connections.isNotEmpty() && connections.last().isStale(now)) {
                connections.removeLast().connection.close()
            }
        }
        idle.values.removeAll { it.isEmpty() }
    }

    /**
     * A request that was sent to [address] at [sentAt] on a reused connection has got no byte of a response by [now].
     * Closes the connections that have been idle since then, if that is too long for a working connection.
     */
    fun onSilence(address: Address, sentAt: Long, now: Long) {
        val connections = idle[address]?.takeIf { now - sentAt >= SILENCE_MILLISECONDS } ?: return
        val silent = connections.filter { it.idleSince <= sentAt }
        connections.removeAll(silent.toSet())
        silent.forEach { it.connection.close() }
    }

    private fun pollIdle(address: Address, maximumIdle: Long, id: String): ServerConnection? {
        val now = clock()
        val connections = idle[address] ?: return null
        val (usable, stale) = connections.partition {
            val isFresh = now - it.idleSince <= minOf(it.maximumIdleTime, maximumIdle)
            it.connection.channel.isActive && isFresh
        }
        connections.removeAll(stale)
        stale.forEach { it.connection.close() }
        val found = usable.firstOrNull { it.connection.record.mayCarry(id) }
        connections.remove(found)
        return found?.connection
    }

    private fun connect(address: Address, onConnection: (ServerConnection?) -> Unit) {
        openedCount++
        val future = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val connection = ServerConnection(channel, address, this@ServerConnections)
                    channel.attr(ServerConnection.KEY).set(connection)
                    val handler = UnsolicitedBytesHandler(ServerExchange::class.java) {
                        connection.record.onDisorder(Disorder.UNSOLICITED_BYTES)
                        connection.close()
                    }
                    channel.pipeline().addLast(handler)
                }
            })
            .connect(address.host, address.port)
        future.addListener {
            onConnection(if (it.isSuccess) future.channel().attr(ServerConnection.KEY).get() else null)
        }
    }

    companion object {
        /** Idle limit for repeatable requests: only the server's own limit applies. */
        const val NO_IDLE_LIMIT: Long = Long.MAX_VALUE

        /** Idle limit for once-only requests, which are not sent on a connection that the server may be closing. */
        const val ONCE_ONLY_IDLE_MILLISECONDS: Long = 3_000

        /** A server that works begins its response within this time, unless it is overloaded. */
        private const val SILENCE_MILLISECONDS = 1_000L

        /** Share of the server's keep-alive time for which an idle connection is reused. */
        private const val KEEP_ALIVE_PERCENT = 70
        private const val PERCENT = 100

        /** Covers two round trips between failure domains, but not the retransmission of a lost packet. */
        private const val CONNECT_TIMEOUT_MILLISECONDS = 350
    }
}
