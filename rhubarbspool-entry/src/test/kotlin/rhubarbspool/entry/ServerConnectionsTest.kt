/*
 * Connections that can carry no further request must not stay open: servers bound the number of their connections.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.embedded.EmbeddedChannel
import rhubarbspool.dispatch.Disorder
import rhubarbspool.model.Address

class ServerConnectionsTest : FunSpec({
    data class ReleaseCase(val what: String, val requests: Int, val disorder: Disorder?, val isKept: Boolean)

    listOf(
        ReleaseCase("a request", requests = 1, disorder = null, isKept = true),
        ReleaseCase("one request less than it may carry", requests = 99, disorder = null, isKept = true),
        ReleaseCase("all requests that it may carry", requests = 100, disorder = null, isKept = false),
        ReleaseCase("a request and other bytes", requests = 1, Disorder.SURPLUS_BYTES, isKept = false),
    ).forEach { case ->
        test("a connection that has carried ${case.what} is ${if (case.isKept) "kept" else "closed"}") {
            val channel = EmbeddedChannel()
            val address = Address("127.0.0.1", 1)
            val connections = ServerConnections(channel.eventLoop(), { 0L }) { _, _, _ -> }
            val connection = ServerConnection(channel, address, connections)
            repeat(case.requests) { connection.record.begin("r$it") }
            case.disorder?.let(connection.record::onDisorder)
            connections.release(connection, keepAlive = 10_000)
            channel.isActive shouldBe case.isKept
        }
    }
})
