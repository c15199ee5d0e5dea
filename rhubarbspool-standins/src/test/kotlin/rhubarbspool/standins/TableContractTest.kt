/*
 * The contract between the table client and the platform's table service, under injected faults.
 */
package rhubarbspool.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import rhubarbspool.edge.HttpClient
import rhubarbspool.edge.HttpObjectStore
import rhubarbspool.edge.HttpTableClient
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.ServerBody
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write
import rhubarbspool.table.resolve

private fun transaction(writeId: String, key: String, version: Long) = Transaction(
    writeId,
    listOf(Condition(key, version)),
    listOf(Write(key, ServerBody(ServerName(key), ServiceName("service"), reachable = true))),
)

class TableContractTest : FunSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val address = FreeAddresses.next()
    val client = HttpClient(group, LONG_TIMEOUT_MILLISECONDS)
    val table = HttpTableClient(client, address)
    val shortTimeoutTable = HttpTableClient(HttpClient(group, SHORT_TIMEOUT_MILLISECONDS), address)
    val platform = PlatformStandIn(group)
    platform.listen(address)

    afterEach { platform.faults = PlatformFaults() }
    afterSpec { group.shutdownGracefully() }

    test("a transaction is committed once, and a second one conditional on the same version conflicts") {
        val first = table.commit(transaction("a", "server/a", 0)).get()
        val version = first.shouldBeInstanceOf<CommitResult.Committed>().rows.single().version
        val second = table.commit(transaction("b", "server/a", 0)).get().shouldBeInstanceOf<CommitResult.Conflict>()
        second.rows.single().writeId shouldBe "a"
        table.commit(transaction("c", "server/a", version)).get().shouldBeInstanceOf<CommitResult.Committed>()
    }

    test("resending a transaction after a lost reply returns that it was committed") {
        platform.faults = PlatformFaults(loseRepliesFraction = 1.0)
        val sent = transaction("lost", "server/lost", 0)
        shortTimeoutTable.commit(sent).get() shouldBe CommitResult.Unknown
        platform.faults = PlatformFaults()
        table.commit(sent).get().resolve(sent).shouldBeInstanceOf<CommitResult.Committed>()
        table.read(listOf("server/lost")).get().single().writeId shouldBe "lost"
    }

    test("a commit returns Unknown, not a failure, during an outage or against a slow table") {
        listOf(PlatformFaults(outage = true), PlatformFaults(delayMilliseconds = 1_000)).forEach { faults ->
            platform.faults = faults
            val sent = transaction("late", "server/${faults.delayMilliseconds}", 0)
            shortTimeoutTable.commit(sent).get() shouldBe CommitResult.Unknown
        }
    }

    test("a scan returns the rows changed since a revision, in version order") {
        val before = table.scan(listOf("server/"), 0).get().revision
        table.commit(transaction("s1", "server/s1", 0)).get()
        table.commit(transaction("s2", "server/s2", 0)).get()
        val scan = table.scan(listOf("server/"), before).get()
        scan.rows.map { it.key } shouldBe listOf("server/s1", "server/s2")
        scan.revision shouldBe scan.rows.last().version
        table.scan(listOf("gate/"), before).get().rows shouldBe emptyList()
    }

    test("an object is found only by the hash of its text") {
        val objects = HttpObjectStore(client, address)
        val hash = objects.put("text").get()
        objects.get(hash).get() shouldBe "text"
        objects.get("0".repeat(64)).get() shouldBe null
    }
})

/** The first call of a process loads classes, which can take more than 300 ms on a busy machine. */
private const val LONG_TIMEOUT_MILLISECONDS = 5_000L

/** Far below the delay of the slow table. */
private const val SHORT_TIMEOUT_MILLISECONDS = 300L
