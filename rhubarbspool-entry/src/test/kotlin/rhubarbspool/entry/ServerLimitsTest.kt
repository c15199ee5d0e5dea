/*
 * Limits in responses of servers: which ones are read, and how long an instance remembers them.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerDirectory
import rhubarbspool.traffic.ServerState

class ServerLimitsTest : FunSpec({
    val names = HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Executed", "Load", "Limit", "Leaving", "Key")
    val server = BackendEntry(
        ServerName("s1"),
        1,
        ServiceName("desk"),
        Address("10.0.0.1", 1),
        FailureDomainName("east"),
        2,
        ServerState.READY,
        0,
    )
    val domainPool = PoolName("desk", "east")
    val directory = ServerDirectory().also { it.put(server, 0) }

    fun limits() = ServerLimits(directory, DecisionLog { 0 })

    data class HeaderCase(val text: String?, val limit: Double?)

    listOf(
        HeaderCase("2.7", 2.7),
        HeaderCase(" 12 ", 12.0),
        HeaderCase("0", 0.0),
        HeaderCase(null, null),
        HeaderCase("", null),
        HeaderCase("-1", null),
        HeaderCase("NaN", null),
        HeaderCase("1e9", null),
        HeaderCase("2.7.1", null),
        HeaderCase("9".repeat(400), null),
    ).forEach { case ->
        test("the limit in a header with the text ${case.text?.take(9)} is ${case.limit}") {
            val headers = DefaultHttpHeaders(false).also { headers -> case.text?.let { headers.set("Limit", it) } }
            ServerHead(200, headers, isFramed = true, reusable = true).limit(names) shouldBe case.limit
        }
    }

    test("a limit is known in the pools of its server, with the time since it was named") {
        val limits = limits().also { it.record(server, 2.5, CallOutcome.ANSWERED, sentAt = 10, now = 100) }
        listOf(domainPool, PoolName("desk", "east", "s1")).forEach {
            limits.of(it, 130).shouldContainExactly(LimitMessage("s1", 2.5, 30))
        }
        listOf(PoolName("desk", "west"), PoolName("board", "east"), PoolName("desk", "east", "s2")).forEach {
            limits.of(it, 130).shouldBeEmpty()
        }
    }

    test("a response to an earlier request does not end a limit, one to a later request does") {
        val limits = limits().also { it.record(server, 2.5, CallOutcome.ANSWERED, sentAt = 10, now = 100) }
        limits.record(server, null, CallOutcome.ANSWERED, sentAt = 50, now = 120)
        limits.of(domainPool, 120).map { it.requestsPerSecond }.shouldContainExactly(2.5)
        limits.record(server, null, CallOutcome.ANSWERED, sentAt = 110, now = 140)
        limits.of(domainPool, 140).shouldBeEmpty()
    }

    test("a misdirected response names no limit, and a rejection does not end one") {
        val limits = limits()
        limits.record(server, 2.5, CallOutcome.MISDIRECTED, sentAt = 10, now = 100) shouldBe null
        limits.of(domainPool, 100).shouldBeEmpty()
        limits.record(server, 2.5, CallOutcome.SHED, sentAt = 110, now = 120) shouldBe 2.5
        limits.record(server, null, CallOutcome.SHED, sentAt = 130, now = 140)
        limits.of(domainPool, 140).map { it.requestsPerSecond }.shouldContainExactly(2.5)
    }

    test("the limit of a server that has started again is forgotten") {
        val limits = limits().also { it.record(server, 2.5, CallOutcome.ANSWERED, sentAt = 10, now = 100) }
        directory.put(server.copy(bornWall = 2), 110)
        limits.of(domainPool, 120).shouldBeEmpty()
    }
})
