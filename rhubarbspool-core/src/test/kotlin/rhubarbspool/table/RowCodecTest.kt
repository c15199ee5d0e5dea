/*
 * Every kind of row body survives encoding and decoding. A kind written by operators once could not be encoded.
 */
package rhubarbspool.table

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

private val instance = InstanceName("entry-1")
private val server = ServerName("server-1")
private val service = ServiceName("service")
private val address = Address("127.0.0.1", 1)

private val bodies: List<RowBody> = listOf(
    MemberBody(
        instance,
        FailureDomainName("domain"),
        address,
        address,
        generation = 3,
        state = MemberState.LEAVING,
        successors = listOf(Successor(instance, 2)),
    ),
    GateBody(server, service, instance, generation = 3, epoch = 7, suspectUntilMilliseconds = 5),
    GateBody(server, service, holder = null),
    ShardBody(service, 3, server, epoch = 2, hotKey = "hot"),
    ConfigurationBody(service, 4, "hash", "operator"),
    DrainBody(DrainKind.DOMAIN, "domain", draining = true, author = "operator", reason = "power"),
    QuarantineBody(service, "fingerprint", crashes = 2, expiresAtMilliseconds = 9, releasedBy = "operator"),
    ServerBody(server, service, reachable = false),
    AuditBody("operator", "drain", "subject", "before", "after", "cause", atMilliseconds = 8),
    OnceBody(service, "fingerprint", gateEpoch = 2, status = 200, contentType = "text/plain", answer = "yes"),
)

class RowCodecTest : FunSpec({
    bodies.forEach { body ->
        test("${body::class.simpleName} survives encoding and decoding") {
            RowCodec.decode(RowCodec.encode(body)) shouldBe body
        }
    }

    test("text that is not a row decodes to null") {
        listOf("", "{}", "{\"row\":\"unknown\"}", "[]").forEach { RowCodec.decode(it) shouldBe null }
    }

    test("the highest version of a row wins, in any order") {
        val rows = listOf(3L, 1L, 2L).map { VersionedRow("gate/server-1", it, "write-$it", bodies[1]) }
        rows.permutations().forEach { order ->
            val table = RowTable()
            order.forEach(table::merge)
            table.version("gate/server-1") shouldBe 3
            table.body<GateBody>("gate/server-1") shouldBeSameInstanceAs bodies[1]
        }
    }
})

private fun <T> List<T>.permutations(): List<List<T>> =
    if (size <= 1) listOf(this) else flatMap { first -> (this - first).permutations().map { listOf(first) + it } }
