/*
 * A connection to a server is used again only if it is in order, has not carried a request with the same id, and its
 * server has not repeated a response for a while.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import rhubarbspool.dispatch.Disorder
import rhubarbspool.model.Address

class ServerConnectionsTest : FunSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    afterSpec { group.shutdownGracefully() }
    val server = Address("127.0.0.1", 1)
    val other = Address("127.0.0.1", 2)

    class Scene {
        var now = 0L
        val told = ArrayList<String>()
        val connections = ServerConnections(group, { now }) { address, disorder, milliseconds ->
            told += "$address $disorder $milliseconds"
        }

        /** A connection that has carried the request with [id], and is released if it is not out of order. */
        fun used(id: String, address: Address = server, disorder: Disorder? = null): ServerConnection {
            val connection = ServerConnection(EmbeddedChannel(), address, connections)
            connection.record.begin(id)
            disorder?.let(connection.record::onDisorder)
            connection.release(KEEP_ALIVE_MILLISECONDS)
            return connection
        }
    }

    data class ReleaseCase(val what: String, val disorder: Disorder?, val isKept: Boolean, val told: List<String>)

    listOf(
        ReleaseCase("in order", null, true, emptyList()),
        ReleaseCase("out of order", Disorder.SURPLUS_BYTES, false, listOf("$server SURPLUS_BYTES 10000")),
    ).forEach { case ->
        test("a connection that is ${case.what} is kept: ${case.isKept}") {
            val scene = Scene()
            scene.used("a", disorder = case.disorder).channel.isActive shouldBe case.isKept
            scene.told shouldBe case.told
        }
    }

    // Guards against connections that stay open though they can carry no further request.
    listOf(98 to true, 99 to false).forEach { (earlier, isKept) ->
        test("a connection that has carried $earlier requests before its last one is kept: $isKept") {
            val connection = ServerConnection(EmbeddedChannel(), server, Scene().connections)
            repeat(earlier + 1) { connection.record.begin("r$it") }
            connection.release(KEEP_ALIVE_MILLISECONDS)
            connection.channel.isActive shouldBe isKept
        }
    }

    data class LaterCase(val address: Address, val at: Long, val isKept: Boolean)

    listOf(
        LaterCase(server, 9_999, isKept = false),
        LaterCase(server, 10_000, isKept = true),
        LaterCase(other, 0, isKept = true),
    ).forEach { case ->
        val isSame = case.address == server
        test("${case.at} ms after disorder a connection is kept: ${case.isKept}; to the same server: $isSame") {
            val scene = Scene()
            scene.used("a", disorder = Disorder.SURPLUS_BYTES)
            scene.now = case.at
            scene.used("b", case.address).channel.isActive shouldBe case.isKept
        }
    }

    test("idle connections to a server end when another one to it is out of order") {
        val scene = Scene()
        val idle = listOf(scene.used("a"), scene.used("b"), scene.used("c", other))
        scene.used("d", disorder = Disorder.UNNAMED_RESPONSE)
        idle.map { it.channel.isActive } shouldBe listOf(false, false, true)
    }

    listOf("a" to false, "b" to true).forEach { (id, isReused) ->
        test("an idle connection that has carried a carries $id: $isReused") {
            val scene = Scene()
            val idle = scene.used("a")
            var acquired: ServerConnection? = null
            scene.connections.acquire(server, ServerConnections.NO_IDLE_LIMIT, id) { acquired = it }
            (acquired === idle) shouldBe isReused
            scene.connections.openedCount shouldBe if (isReused) 0 else 1
        }
    }
})

private const val KEEP_ALIVE_MILLISECONDS = 5_000L
