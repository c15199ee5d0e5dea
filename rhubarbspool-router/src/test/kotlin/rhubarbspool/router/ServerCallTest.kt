/*
 * How a call ends for complete, truncated and invalid responses of a backend server; each case also byte by byte.
 */
package rhubarbspool.router

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/** Bytes that the server sends; it closes the connection afterwards if [closes]. */
private data class ServerReply(
    val name: String,
    val text: String,
    val closes: Boolean,
    val end: WireEnd,
    val body: String = ""
)

private val replies = listOf(
    ServerReply("length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false, WireEnd.WHOLE, "abc"),
    ServerReply("empty", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false, WireEnd.WHOLE),
    ServerReply("no content", "HTTP/1.1 204 No Content\r\n\r\n", false, WireEnd.WHOLE),
    ServerReply(
        "chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        false,
        WireEnd.WHOLE,
        "abc"
    ),
    ServerReply(
        "last on connection",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na",
        true,
        WireEnd.WHOLE_CLOSED,
        "a"
    ),
    ServerReply("nothing", "", true, WireEnd.CLOSED_BY_SERVER),
    ServerReply("half a head", "HTTP/1.1 200 OK\r\ncontent-le", true, WireEnd.CLOSED_BY_SERVER),
    ServerReply(
        "short of its length",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        true,
        WireEnd.CLOSED_BY_SERVER,
        "abc"
    ),
    ServerReply(
        "without its last chunk",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        true,
        WireEnd.CLOSED_BY_SERVER,
        "abc"
    ),
    ServerReply("without length or chunks", "HTTP/1.1 200 OK\r\n\r\nabc", true, WireEnd.INVALID),
    ServerReply("not HTTP", "220 smtp ready\r\n\r\n", false, WireEnd.INVALID),
)

private class RecordingListener : ServerCallListener {
    val body = StringBuilder()
    val ends = mutableListOf<WireEnd>()

    override fun onHead(response: HttpResponse) = Unit

    override fun onBody(bytes: ByteArray) {
        body.append(bytes.decodeToString())
    }

    override fun onEnd(end: WireEnd) {
        ends += end
    }
}

private fun receive(reply: ServerReply, pieces: List<String>): RecordingListener {
    val listener = RecordingListener()
    val channel = EmbeddedChannel(HttpClientCodec())
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
    ServerCall(channel, request, listener).start()
    pieces.forEach { if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
    if (reply.closes) channel.close()
    channel.runPendingTasks()
    channel.finishAndReleaseAll()
    return listener
}

class ServerCallTest : FunSpec({
    replies.forEach { reply ->
        test("response '${reply.name}' ends the call as ${reply.end}") {
            listOf(listOf(reply.text), reply.text.map { "$it" }).forEach { pieces ->
                val recorded = receive(reply, pieces)
                recorded.ends shouldBe listOf(reply.end)
                if (reply.end != WireEnd.INVALID) recorded.body.toString() shouldBe reply.body
            }
        }
    }
})
