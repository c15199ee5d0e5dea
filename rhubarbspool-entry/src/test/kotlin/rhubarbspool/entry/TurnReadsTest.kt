/*
 * Guards against a server or another instance that holds the event loop: of each connection a bounded number of bytes
 * is read, and with them a bounded number of messages handled, before the others and the timers have their turn.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.edge.Metrics
import rhubarbspool.errors.RequestError
import rhubarbspool.model.Address
import rhubarbspool.model.Now
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Counts the bytes that are read in each turn of the event loop, between two ends of reading. */
private class TurnProbe : ChannelInboundHandlerAdapter() {
    private var bytes = 0

    @Volatile
    var maximum = 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) bytes += message.readableBytes()
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        maximum = maxOf(maximum, bytes)
        bytes = 0
        context.fireChannelReadComplete()
    }
}

/** The connections of an instance, and a peer whose bytes wait while the event loop is busy. */
private class WaitingBytes : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val listening = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val loopback = Address("127.0.0.1", 0)
    private val log = DecisionLog { 0 }
    private val probe = TurnProbe()

    /** The most bytes of a server's response that were read in one turn. */
    fun ofServer(head: String, repeated: String): Int {
        val connections = ServerConnections(group, { 0 }) { _, _, _ -> }
        val address = Address("127.0.0.1", listening.localPort)
        loop.submit {
            connections.acquire(address, ServerConnections.NO_IDLE_LIMIT, "a") {
                it!!.channel.pipeline().addFirst(probe)
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x")
                ServerExchange(it, request, "a", TEST_NAMES, DiscardingListener).start()
            }
        }.get()
        return listening.accept().use { mostOf(it, head.toByteArray(), repeated.toByteArray()) }
    }

    /** The most bytes of another instance's messages that were read in one turn. */
    fun ofPeer(message: ByteArray): Int {
        val listener = object : PeerListener {
            override fun onReceived(message: PeerMessage) = Unit
            override fun onDisconnected() = Unit
        }
        return mostOf(PeerTransport(group, log).listen(loopback) { listener }, ByteArray(0), message)
    }

    /** The most bytes of a caller's request that were read in one turn. */
    fun ofCaller(head: String, repeated: String): Int {
        val state = EntryState({ _, _, _ -> null }, log)
        val context = ProcessContext(testSettings(loopback), state, loop, log, EntryMetrics(Metrics())) { Now(0) }
        val server = CallerServer(group, context, DiscardingHandler).listen()
        return mostOf(server, head.toByteArray(), repeated.toByteArray())
    }

    private fun mostOf(server: Channel, head: ByteArray, repeated: ByteArray): Int {
        val accepted = CompletableFuture<Unit>()
        val watch = object : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                (message as Channel).pipeline().addFirst(probe)
                context.fireChannelRead(message)
                accepted.complete(Unit)
            }
        }
        // A handler that is added by another thread may miss the first connection.
        loop.submit { server.pipeline().addFirst(watch) }.get()
        val port = (server.localAddress() as InetSocketAddress).port
        return Socket(InetAddress.getLoopbackAddress(), port).use {
            accepted.get(ACCEPT_SECONDS, TimeUnit.SECONDS)
            mostOf(it, head, repeated)
        }
    }

    private fun mostOf(socket: Socket, head: ByteArray, repeated: ByteArray): Int {
        val isBusy = loop.submit { Thread.sleep(BUSY_MILLISECONDS) }
        val sender = thread {
            try {
                socket.getOutputStream().write(head)
                val bytes = ByteArray(SENT_BYTES / repeated.size * repeated.size) { repeated[it % repeated.size] }
                socket.getOutputStream().write(bytes)
            } catch (_: IOException) {
                // The connection was closed.
            }
        }
        isBusy.get()
        sender.join(BUSY_MILLISECONDS)
        Thread.sleep(BUSY_MILLISECONDS)
        return probe.maximum
    }

    override fun close() {
        listening.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
    }

    private object DiscardingHandler : RequestHandler {
        override val bodyLimit = Long.MAX_VALUE
        override val bodyMemory = BodyMemory()
        override val isStopping = false

        override fun handle(request: CallerRequest, turn: CallerTurn) = Unit

        override fun reject(error: RequestError, turn: CallerTurn) = Unit

        override fun arrivalLimit(headers: HttpHeaders, minimum: Long): Long = minimum
    }

    private object DiscardingListener : ExchangeListener {
        override fun onAnswer(head: ServerHead, body: ByteBuf) {
            body.release()
        }

        override fun onStreamStarted(head: ServerHead) = Unit

        override fun onStreamBytes(bytes: ByteBuf) {
            bytes.release()
        }

        override fun onStreamEnded() = Unit

        override fun onBroken(cause: BreakCause, streaming: Boolean) = Unit
    }
}

private data class TurnCase(val what: String, val most: (WaitingBytes) -> Int)

class TurnReadsTest : FunSpec({
    val answer = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n"
    val request = "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
    withData<TurnCase>(
        { it.what },
        TurnCase("a response with a length") { it.ofServer("${answer}Content-Length: 9999999\r\n\r\n", "x") },
        TurnCase("a response in chunks") { it.ofServer("${answer}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n") },
        TurnCase("interim responses") { it.ofServer("", "HTTP/1.1 100 Continue\r\n\r\n") },
        TurnCase("a request with a length") { it.ofCaller("${request}Content-Length: 9999999\r\n\r\n", "x") },
        TurnCase("messages of another instance") { it.ofPeer(byteArrayOf(0, 0, 0, 3, 0xF8.toByte(), 7, 1)) },
    ) { case ->
        val most = WaitingBytes().use(case.most)
        most shouldBeGreaterThan 0
        most shouldBeLessThanOrEqual TURN_BYTES
    }
})

private val TEST_NAMES =
    HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")

/** Time in which what the peer sends fills the buffers of the system. */
private const val BUSY_MILLISECONDS = 300L
private const val ACCEPT_SECONDS = 10L
private const val SENT_BYTES = 1_000_000

/** Two of the largest parts of a body. */
private const val TURN_BYTES = 32_768
