/*
 * Connections to a server that repeats responses are not reused for a while, and longer each time it does so again.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address

class ConnectionReuseTest : FunSpec({
    val server = Address("127.0.0.1", 1)
    val other = Address("127.0.0.1", 2)

    test("connections to a server are not reused for a while, and those to others are") {
        val reuse = ConnectionReuse()
        reuse.isAllowed(server, 0) shouldBe true
        reuse.onDisorder(server, 0) shouldBe 10_000
        reuse.isAllowed(server, 9_999) shouldBe false
        reuse.isAllowed(server, 10_000) shouldBe true
        reuse.isAllowed(other, 1) shouldBe true
    }

    test("a disorder of a connection from before changes nothing") {
        val reuse = ConnectionReuse()
        reuse.onDisorder(server, 0)
        reuse.onDisorder(server, 5_000) shouldBe null
        reuse.isAllowed(server, 10_000) shouldBe true
    }

    data class AgainCase(val what: String, val times: List<Long>, val durations: List<Long>)

    listOf(
        AgainCase(
            "at once each time",
            listOf(0, 10_000, 30_000, 70_000, 150_000, 310_000),
            listOf(10_000, 20_000, 40_000, 80_000, 160_000, 160_000),
        ),
        AgainCase("within the time in which it is remembered", listOf(0, 170_000), listOf(10_000, 20_000)),
        AgainCase("after that", listOf(0, 170_001), listOf(10_000, 10_000)),
    ).forEach { case ->
        test("a server that repeats responses again ${case.what}") {
            val reuse = ConnectionReuse()
            case.times.map { reuse.onDisorder(server, it) } shouldBe case.durations
        }
    }
})
