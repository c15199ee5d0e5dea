/*
 * A response is relayed only if it is whole and belongs to the request: it may be cut off at any byte, and a reused
 * connection may carry copies of earlier responses.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.dispatch.Disorder
import rhubarbspool.model.Address
import java.util.concurrent.TimeUnit

private val NAMES = HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")

/** Records how an exchange ended. */
private class EndRecorder : ExchangeListener {
    val ends = ArrayList<String>()
    var parts = 0

    override fun onAnswer(head: ServerHead, body: ByteBuf) {
        ends += "answer ${head.status} ${body.toString(Charsets.UTF_8)}"
        body.release()
    }

    override fun onStreamStarted(head: ServerHead) = Unit

    override fun onStreamBytes(bytes: ByteBuf) {
        parts++
        bytes.release()
    }

    override fun onStreamEnded() {
        ends += "stream"
    }

    override fun onBroken(cause: BreakCause, streaming: Boolean) {
        ends += "broken $cause"
    }
}

class ServerExchangeTest : FunSpec({
    val keeper = object : ConnectionKeeper {
        override fun release(connection: ServerConnection, keepAlive: Long) = Unit

        override fun onDisorder(connection: ServerConnection, disorder: Disorder) = Unit
    }

    fun connection() = ServerConnection(EmbeddedChannel(), Address("127.0.0.1", 1), keeper)

    fun ServerConnection.exchange(id: String, method: HttpMethod = HttpMethod.GET): EndRecorder {
        val recorder = EndRecorder()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x")
        ServerExchange(this, request, id, NAMES, recorder).start()
        return recorder
    }

    fun ServerConnection.receive(text: String) =
        (channel as EmbeddedChannel).writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))

    /** The lengths after which [response] may be cut off without being reported as broken. */
    fun lengthsRelayed(response: String): List<Int> = response.indices.filter { length ->
        val connection = connection()
        val recorder = connection.exchange("a")
        connection.receive(response.take(length))
        connection.channel.close()
        recorder.ends.singleOrNull()?.startsWith("broken") != true
    }

    val head = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n"
    val framings = mapOf(
        "a length" to "${head}Content-Length: 5\r\n\r\nhello",
        "chunks" to "${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "the length first" to "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: a\r\nSignature: s\r\n\r\nhello",
    )

    // Guards against a response that breaks off in its head and is relayed as a whole one with an empty body.
    framings.forEach { (what, response) ->
        test("a response with $what that is cut off at any byte is broken") {
            lengthsRelayed(response).shouldBeEmpty()
        }

        test("a whole response with $what is relayed") {
            val connection = connection()
            val recorder = connection.exchange("a")
            connection.receive(response)
            connection.channel.close()
            recorder.ends shouldBe listOf("answer 200 hello")
        }
    }

    test("a response without a length that is cut off in its head is broken") {
        val response = "$head\r\n"
        lengthsRelayed(response).shouldBeEmpty()
    }

    data class IdCase(val what: String, val isReused: Boolean, val idLine: String, val end: String?)

    // Guards against a copy of an earlier response that is taken for the response to this request.
    listOf(
        IdCase("its own id on a new connection", isReused = false, "Id: b\r\n", "answer 503 "),
        IdCase("its own id on a reused connection", isReused = true, "Id: b\r\n", "answer 503 "),
        IdCase("another id on a reused connection", isReused = true, "Id: a\r\n", null),
        IdCase("no id on a new connection", isReused = false, "", "answer 503 "),
        IdCase("no id on a reused connection", isReused = true, "", "broken WRONG_ANSWER"),
    ).forEach { case ->
        test("a refusal with ${case.what}") {
            val connection = connection()
            if (case.isReused) {
                connection.exchange("a")
                connection.receive(framings.getValue("a length"))
            }
            val recorder = connection.exchange("b")
            val statement = "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            connection.receive("HTTP/1.1 503 Service Unavailable\r\n${case.idLine}$statement")
            recorder.ends shouldBe listOfNotNull(case.end)
        }
    }

    data class RepeatCase(
        val what: String,
        val received: List<String>,
        val end: String?,
        val disorder: Disorder?,
        val isReused: Boolean = true,
        val method: HttpMethod = HttpMethod.GET,
    )

    val own = "HTTP/1.1 200 OK\r\nId: b\r\nSignature: t\r\n"
    val whole = "${own}Content-Length: 4\r\n\r\nbody"
    val earlier = framings.getValue("a length")
    val mixed = "broken WRONG_ANSWER"

    // Guards against bytes of a repeated response that become a part of another one, or that stay on its connection.
    listOf(
        RepeatCase("alone", listOf(whole), "answer 200 body", null),
        RepeatCase("behind an earlier one", listOf(earlier + whole), "answer 200 body", Disorder.RESPONSE_TO_ANOTHER),
        RepeatCase("behind one without a length", listOf("$head\r\nhello$whole"), mixed, Disorder.RESPONSE_TO_ANOTHER),
        RepeatCase("ahead of its copy", listOf(whole + whole), "answer 200 body", Disorder.SURPLUS_BYTES),
        RepeatCase(
            "ahead of the begin of its copy",
            listOf(whole + "HTTP/1.1"),
            "answer 200 body",
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase("ahead of other bytes", listOf(whole + "x"), "answer 200 body", Disorder.SURPLUS_BYTES),
        RepeatCase(
            "that names another request too",
            listOf("HTTP/1.1 200 OK\r\nId: b\r\nId: a\r\nSignature: t\r\nContent-Length: 0\r\n\r\n"),
            mixed,
            Disorder.UNNAMED_RESPONSE,
        ),
        RepeatCase(
            "with a copy in its body",
            listOf("${own}Content-Length: 200\r\n\r\nbo${whole}dy".padEnd(400, 'x')),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with a copy in its body, whose end comes late",
            listOf("${own}Content-Length: ${whole.length + 2}\r\n\r\nbo$whole"),
            mixed,
            Disorder.RESPONSE_IN_BODY,
        ),
        RepeatCase(
            "with an unnamed copy in its body",
            listOf("${own}Content-Length: 40\r\n\r\nboHTTP/1.1 200 OK\r\nSignature: s\r\n\r\n" + "x".repeat(20)),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with a status line in its body",
            listOf("${own}Content-Length: 4\r\n\r\nboHTTP/1.1 200 OK\r\ndy"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with the first byte of a copy in its body and the rest behind",
            listOf("${own}Content-Length: 3\r\n\r\nbo$whole"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with the first bytes of a copy in its body and the rest behind, later",
            listOf("${own}Content-Length: 4\r\n\r\nboHT", "TP/1.1 200 OK\r\ndy"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with a status line that is cut off in its body",
            listOf("${own}Content-Length: 14\r\n\r\nboHTTP/1.1 2dy" + "xxxxxxxxxx"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "with a status line that is cut off in its body and its rest behind",
            listOf("${own}Content-Length: 12\r\n\r\nboHTTP/1.1 2", "dy"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "whose text ends like a status line",
            listOf("${own}Content-Length: 9\r\n\r\nso HTTP/1"),
            "answer 200 so HTTP/1",
            null,
        ),
        RepeatCase(
            "with a status line in its body and its rest behind",
            listOf("${own}Content-Length: 19\r\n\r\nboHTTP/1.1 200 OK\r\n", "dy"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "whose text quotes a status line",
            listOf("${own}Content-Length: 17\r\n\r\nHTTP/1.1 404 here"),
            "answer 200 HTTP/1.1 404 here",
            null,
        ),
        RepeatCase(
            "that is cut off in its body, a byte ahead of its copy",
            listOf("${own}Content-Length: 4\r\n\r\nbod$whole"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "that is cut off in its body, some bytes ahead of its copy",
            listOf("${own}Content-Length: 14\r\n\r\nbod$whole"),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "that is cut off in its body, whose copy comes late",
            listOf("${own}Content-Length: 14\r\n\r\nbod", whole),
            mixed,
            Disorder.SURPLUS_BYTES,
        ),
        RepeatCase(
            "that is cut off ahead of its trailers, with a copy behind",
            listOf("${own}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n$whole"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "that is cut off in a chunk, with a copy behind",
            listOf("${own}Transfer-Encoding: chunked\r\n\r\n8\r\nbody$whole"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "that is cut off in its head, with a copy behind",
            listOf("HTTP/1.1 500 Failed\r\nId: b\r\nSigna$whole"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase("ahead of an empty line", listOf("$whole\r\n"), "answer 200 body", null),
        RepeatCase(
            "whose body ends like the begin of a status line",
            listOf("${own}Content-Length: 4\r\n\r\nbodH"),
            "answer 200 bodH",
            null,
        ),
        RepeatCase(
            "in chunks, with trailers",
            listOf("${own}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"),
            "answer 200 body",
            null,
        ),
        RepeatCase(
            "that has no body",
            listOf("HTTP/1.1 304 Not Modified\r\nId: b\r\nSignature: t\r\n\r\n"),
            "answer 304 ",
            null,
        ),
        RepeatCase("behind an interim one", listOf("HTTP/1.1 100 Continue\r\n\r\n$whole"), "answer 200 body", null),
        RepeatCase(
            "in chunks, with a copy in one",
            listOf("${own}Transfer-Encoding: chunked\r\n\r\n4\r\nbo${whole}dy\r\n0\r\n\r\n"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "behind the status line of another",
            listOf("HTTP/1.1 500 Failed\r\n$whole"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "behind a part of the head of another",
            listOf("HTTP/1.1 500 Failed\r\nC$whole"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "with a copy in a header",
            listOf("HTTP/1.1 200 OK\r\nId: b\r\nSignature: tHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "with a copy in a header that is cut off in its status line",
            listOf("HTTP/1.1 200 OK\r\nId: b\r\nSignature: tHTTP/1.1 2u\r\nContent-Length: 0\r\n\r\n"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "with a copy in its status line",
            listOf("HTTP/1.1 500 FaiHTTP/1.1 200 OK\r\nId: b\r\nSignature: t\r\nContent-Length: 0\r\n\r\n"),
            "broken NOT_HTTP",
            Disorder.NOT_HTTP,
        ),
        RepeatCase(
            "without an id ahead of one with it",
            listOf("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n$whole"),
            mixed,
            Disorder.SURPLUS_BYTES,
            isReused = false,
        ),
        RepeatCase(
            "to a request for a head, ahead of its copy",
            listOf("${own}Content-Length: 4\r\n\r\n$whole"),
            "answer 200 ",
            Disorder.SURPLUS_BYTES,
            method = HttpMethod.HEAD,
        ),
    ).forEach { case ->
        test("a response ${case.what}") {
            val connection = connection()
            if (case.isReused) {
                connection.exchange("a")
                connection.receive(earlier)
            }
            val recorder = connection.exchange("b", case.method)
            case.received.forEach(connection::receive)
            (connection.channel as EmbeddedChannel).advanceTimeBy(1, TimeUnit.SECONDS)
            (connection.channel as EmbeddedChannel).runScheduledPendingTasks()
            recorder.ends shouldBe listOfNotNull(case.end)
            connection.record.disorder shouldBe case.disorder
        }
    }

    // Guards against the rest of a response in a body that is not read because the caller reads slowly.
    test("a response that may be mixed is read on though its caller reads slowly") {
        val connection = connection()
        val recorder = EndRecorder()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x")
        val exchange = ServerExchange(connection, request, "b", NAMES, recorder).also { it.start() }
        connection.receive("${own}Content-Length: 200012\r\n\r\n" + "x".repeat(200_000))
        exchange.isReading = false
        connection.receive("HTTP/1.1 404")
        exchange.isReading shouldBe true
        exchange.isReading = false
        exchange.isReading shouldBe true
        connection.receive("x")
        (connection.channel as EmbeddedChannel).advanceTimeBy(1, TimeUnit.SECONDS)
        (connection.channel as EmbeddedChannel).runScheduledPendingTasks()
        recorder.ends shouldBe listOf(mixed)
    }

    data class FramingCase(val what: String, val response: String, val isRelayed: Boolean)

    val extension = ";" + "e".repeat(7_000)

    fun chunks(count: Int, size: Int, extension: String = "") =
        "${size.toString(radix = 16)}$extension\r\n${"x".repeat(size)}\r\n".repeat(count)

    val chunked = "${own}Transfer-Encoding: chunked\r\n\r\n"
    val end = "0\r\n\r\n"
    val interim = "HTTP/1.1 100 Continue\r\n\r\n"

    // Guards against responses of many small parts, which keep the event loop from other requests.
    listOf(
        FramingCase("of 20,000 chunks of a byte", "$chunked${chunks(20_000, 1)}$end", isRelayed = true),
        FramingCase("of 40,000 chunks of a byte", "$chunked${chunks(40_000, 1)}$end", isRelayed = false),
        FramingCase("of 40,000 chunks of 16 bytes", "$chunked${chunks(40_000, 16)}$end", isRelayed = true),
        FramingCase("of 40 chunks of 16,384 bytes", "$chunked${chunks(40, 16_384)}$end", isRelayed = true),
        FramingCase("of 10 extended chunks", "$chunked${chunks(10, 1, extension)}$end", isRelayed = true),
        FramingCase("of 40 extended chunks", "$chunked${chunks(40, 1, extension)}$end", isRelayed = false),
        FramingCase("behind 100 interim responses", interim.repeat(100) + whole, isRelayed = true),
        FramingCase("behind 10,000 interim responses", interim.repeat(10_000) + whole, isRelayed = false),
        FramingCase("of 540 kB", "${own}Content-Length: 540000\r\n\r\n${"x".repeat(540_000)}", isRelayed = true),
    ).forEach { case ->
        test("a response ${case.what}") {
            val connection = connection()
            val recorder = connection.exchange("b")
            case.response.chunked(READ_BYTES).forEach { if (connection.channel.isActive) connection.receive(it) }
            recorder.ends.map { it.substringBefore(' ') } shouldBe
                listOf(if (!case.isRelayed) "broken" else if (case.response.length < 200_000) "answer" else "stream")
            connection.record.disorder shouldBe Disorder.NOT_HTTP.takeUnless { case.isRelayed }
        }
    }

    test("small chunks that are read together are streamed together") {
        val connection = connection()
        val recorder = connection.exchange("b")
        connection.receive(chunked + chunks(1, 140_000))
        val earlierParts = recorder.parts
        connection.receive(chunks(2_700, 1))
        recorder.parts - earlierParts shouldBe 1
        connection.receive(end)
        recorder.ends shouldBe listOf("stream")
    }

    listOf("x" to listOf("answer 200 hello"), earlier to listOf("broken WRONG_ANSWER")).forEach { (rest, ends) ->
        test("a response without a length that ends with ${rest.take(8)}") {
            val connection = connection()
            val recorder = connection.exchange("a")
            connection.receive("$head\r\nhello".dropLast(if (rest == "x") 1 else 0))
            connection.receive(if (rest == "x") "o" else rest)
            connection.channel.close()
            recorder.ends shouldBe ends
        }
    }

    test("what follows a response that quotes a status line is read though its caller reads slowly") {
        val connection = connection()
        val recorder = connection.exchange("b")
        connection.channel.config().isAutoRead = false
        connection.receive("${own}Content-Length: 12\r\n\r\nHTTP/1.1 404")
        connection.channel.config().isAutoRead shouldBe true
        recorder.ends.shouldBeEmpty()
    }
})

/** The bytes that are received at once. */
private const val READ_BYTES = 16_384
