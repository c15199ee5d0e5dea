/*
 * What a backend server may send back, whole, cut short or wrong, and how the call ends; each case also byte by byte.
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

/** An answer on the wire, after which the server closes the connection when [closes]. */
private data class Wire(
    val name: String,
    val text: String,
    val closes: Boolean,
    val end: WireEnd,
    val body: String = ""
)

private val wires = listOf(
    Wire("length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false, WireEnd.WHOLE, "abc"),
    Wire("empty", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false, WireEnd.WHOLE),
    Wire("no content", "HTTP/1.1 204 No Content\r\n\r\n", false, WireEnd.WHOLE),
    Wire(
        "chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        false,
        WireEnd.WHOLE,
        "abc"
    ),
    Wire(
        "last on connection",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na",
        true,
        WireEnd.WHOLE_CLOSED,
        "a"
    ),
    Wire("nothing", "", true, WireEnd.CLOSED_BY_SERVER),
    Wire("half a head", "HTTP/1.1 200 OK\r\ncontent-le", true, WireEnd.CLOSED_BY_SERVER),
    Wire(
        "short of its length",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        true,
        WireEnd.CLOSED_BY_SERVER,
        "abc"
    ),
    Wire(
        "short of its last chunk",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        true,
        WireEnd.CLOSED_BY_SERVER,
        "abc"
    ),
    Wire("end not told", "HTTP/1.1 200 OK\r\n\r\nabc", true, WireEnd.INVALID),
    Wire("not HTTP", "220 smtp ready\r\n\r\n", false, WireEnd.INVALID),
)

private class Heard : ServerCallListener {
    val body = StringBuilder()
    val ends = mutableListOf<WireEnd>()

    override fun head(response: HttpResponse) = Unit

    override fun body(bytes: ByteArray) {
        body.append(bytes.decodeToString())
    }

    override fun end(end: WireEnd) {
        ends += end
    }
}

private fun hear(wire: Wire, pieces: List<String>): Heard {
    val heard = Heard()
    val channel = EmbeddedChannel(HttpClientCodec())
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
    ServerCall(channel, request, heard).start()
    pieces.forEach { if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
    if (wire.closes) channel.close()
    channel.runPendingTasks()
    channel.finishAndReleaseAll()
    return heard
}

class ServerCallTest : FunSpec({
    wires.forEach { wire ->
        test("an answer that is ${wire.name} ends as ${wire.end}") {
            listOf(listOf(wire.text), wire.text.map { "$it" }).forEach { pieces ->
                val heard = hear(wire, pieces)
                heard.ends shouldBe listOf(wire.end)
                if (wire.end != WireEnd.INVALID) heard.body.toString() shouldBe wire.body
            }
        }
    }
})
