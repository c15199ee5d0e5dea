/*
 * Contract tests of the callers' and the servers' interface over real sockets, with invalid requests and faults.
 */
package rhubarbspool.router

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.standins.PlatformFaults
import java.net.Socket

/** An invalid request, and the status and error that it is answered with. */
private data class WrongRequest(val text: String, val status: Int, val error: String)

private val wrongRequests = listOf(
    WrongRequest("NONSENSE\r\n\r\n", 400, "malformed_request"),
    WrongRequest("GET /nowhere/boats/a HTTP/1.1\r\nhost: x\r\n\r\n", 404, "unknown_service"),
    WrongRequest("GET /ledger/ships/a HTTP/1.1\r\nhost: x\r\n\r\n", 404, "unknown_route"),
    WrongRequest("DELETE /ledger/boats/a HTTP/1.1\r\nhost: x\r\n\r\n", 405, "method_not_allowed"),
    WrongRequest("GET /ledger/boats/ HTTP/1.1\r\nhost: x\r\n\r\n", 400, "key_missing"),
    WrongRequest("POST /ledger/boats/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n", 400, "request_id_missing"),
    WrongRequest("GET /${"x".repeat(9_000)} HTTP/1.1\r\n\r\n", 431, "headers_too_large"),
    WrongRequest("GET / HTTP/1.1\r\nlong: ${"x".repeat(20_000)}\r\n\r\n", 431, "headers_too_large"),
    WrongRequest(
        "POST /ledger/boats/a HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\ncontent-length: 5000\r\n\r\n",
        413,
        "body_too_large",
    ),
    WrongRequest("GET /ledger/boats/a HTTP/1.1\r\nhost: x\r\nexpect: nonsense\r\n\r\n", 417, "expectation_failed"),
)

/** The server that answered, or the error with its detail. */
private val HttpAnswer.origin: String
    get() = headers["rhubarbspool-server"] ?: "$status ${headers["rhubarbspool-error"]}: $body"

internal fun Socket.exchange(text: String): String {
    soTimeout = 5_000
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
    shutdownOutput()
    return getInputStream().readBytes().decodeToString()
}

class SystemTest : FunSpec({
    lateinit var system: TestSystem

    beforeSpec { system = TestSystem() }
    afterSpec { system.close() }

    test("reads and bookings are answered by the key's one server through routers of both failure domains") {
        (0 until 10).forEach { number ->
            val origins = (0..1).map { system.ask(it, "key-$number").origin } +
                (0..1).map { system.book(it, "key-$number", "both-$number-$it").origin }
            origins.toSet() shouldHaveSize 1
        }
    }

    test("a booking that is sent again gets the recorded answer and runs once") {
        val first = system.book(0, "key-3", "again")
        val second = system.book(1, "key-3", "again")
        listOf(first, second).map { it.origin }.toSet() shouldBe setOf(first.headers["rhubarbspool-server"])
        second.body shouldBe first.body
        second.headers["rhubarbspool-replayed"] shouldBe "true"
        val other = HttpCall("POST", "/ledger/boats/key-3", "other crew", mapOf("idempotency-key" to "again"))
        system.send(0, other).headers["rhubarbspool-error"] shouldBe "request_id_reused"
        system.servers.flatMap { it.counts().repeatedRequestIds }.shouldBeEmpty()
    }

    test("each invalid request is answered with its error") {
        wrongRequests.forEach { wrong ->
            val answer = system.connect(0).use { it.exchange(wrong.text) }
            answer shouldContain "HTTP/1.1 ${wrong.status} "
            answer shouldContain "rhubarbspool-error: ${wrong.error}"
            answer shouldContain "rhubarbspool-outcome: not-run"
        }
    }

    test("a request that arrives byte by byte is served") {
        system.connect(0).use { socket ->
            socket.soTimeout = 5_000
            "GET /ledger/boats/key-1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".toByteArray().forEach { byte ->
                socket.getOutputStream().write(byte.toInt())
                socket.getOutputStream().flush()
            }
            socket.getInputStream().readBytes().decodeToString() shouldContain "\"target\":\"/boats/key-1\""
        }
    }

    test("pipelined requests are answered in order, each with its own response") {
        val requests = (0 until 6).joinToString("") { number ->
            val close = if (number == 5) "connection: close\r\n" else ""
            "GET /ledger/boats/key-$number HTTP/1.1\r\nhost: x\r\n$close\r\n"
        }
        val answer = system.connect(1).use { socket ->
            socket.soTimeout = 5_000
            socket.getOutputStream().write(requests.toByteArray())
            socket.getInputStream().readBytes().decodeToString()
        }
        val targets = Regex("/boats/key-(\\d)").findAll(answer).map { it.groupValues[1].toInt() }.toList()
        targets shouldContainExactly (0 until 6).toList()
    }

    test("reads continue during a platform outage, and bookings continue once every successor is informed") {
        system.platform.faults = PlatformFaults(outage = true)
        listOf("key-5", "key-6").forEach { key ->
            system.waitUntil("bookings of $key run without the table") {
                system.book(0, key, "out-$key-${System.nanoTime()}").status == 200
            }
        }
        (0 until 10).map { system.ask(it % 2, "key-$it").origin }.filter { "server" !in it }.shouldBeEmpty()
        system.book(1, "key-6", "out-once").status shouldBe 200
        system.book(0, "key-6", "out-once").headers["rhubarbspool-replayed"] shouldBe "true"
        system.platform.faults = PlatformFaults()
        system.servers.flatMap { it.counts().repeatedRequestIds }.shouldBeEmpty()
    }

    test("bookings whose transaction replies are lost run at most once and end with 200, 503 or 504") {
        system.platform.faults = PlatformFaults(loseRepliesFraction = 0.5)
        val statuses = (0 until 20).map { system.book(it % 2, "key-$it", "lost-$it").status }
        system.platform.faults = PlatformFaults()
        statuses.count { it == 200 } shouldBe statuses.count { it != 503 && it != 504 }
        system.servers.flatMap { it.counts().repeatedRequestIds }.shouldBeEmpty()
    }

    test("keys of a crashed server are soon served by another, and bookings never run twice") {
        val key = (0 until 20).first { system.ask(0, "key-$it").headers["rhubarbspool-server"] == "server-1" }
        system.servers[1].stop()
        system.waitUntil("another server serves the key") { system.ask(1, "key-$key").status == 200 }
        system.ask(0, "key-$key").origin shouldBe system.ask(1, "key-$key").origin
    }
})
