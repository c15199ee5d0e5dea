/*
 * The options of one connection may name headers that concern only that connection. Whatever they name, requests and
 * responses keep what the platform's protocol needs, and what says how their bodies are to be read.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

private data class OptionCase(val options: List<String>, val name: String, val isKept: Boolean)

class ServerRequestsTest : FunSpec({
    val names = HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")
    val server = ServerName("s")
    val address = Address("127.0.0.1", 1)
    val domain = FailureDomainName("east")
    val entry = BackendEntry(server, 1, ServiceName("desk"), address, domain, 1, ServerState.READY, 0)

    fun headers(case: OptionCase): HttpHeaders {
        val headers = DefaultHttpHeaders().add(case.name, "x")
        case.options.forEach { headers.add("Connection", it) }
        return headers
    }

    context("headers of a response") {
        withData<OptionCase>(
            { "${it.name} beside ${it.options}" },
            OptionCase(listOf("Signature"), "Signature", isKept = true),
            OptionCase(listOf("keep-alive, SIGNATURE"), "Signature", isKept = true),
            OptionCase(listOf("Id"), "Id", isKept = true),
            OptionCase(listOf("close", "Id"), "Id", isKept = true),
            OptionCase(listOf("Content-Length"), "Content-Length", isKept = true),
            OptionCase(listOf("Content-Encoding"), "Content-Encoding", isKept = true),
            OptionCase(listOf("Content-Type"), "Content-Type", isKept = true),
            OptionCase(listOf("Retry-After"), "Retry-After", isKept = true),
            OptionCase(listOf("Other"), "Other", isKept = false),
            OptionCase(listOf("close, other"), "Other", isKept = false),
            OptionCase(emptyList(), "Keep-Alive", isKept = false),
            OptionCase(emptyList(), "Transfer-Encoding", isKept = false),
            OptionCase(emptyList(), "Other", isKept = true),
        ) { case ->
            val sent = ServerRequests.answerHeaders(headers(case), names)
            sent.contains(case.name) shouldBe case.isKept
            sent.contains("Connection") shouldBe false
        }
    }

    context("headers of a request") {
        withData<OptionCase>(
            { "${it.name} beside ${it.options}" },
            OptionCase(listOf("Id"), "Id", isKept = true),
            OptionCase(listOf("keep-alive, KEY"), "Key", isKept = true),
            OptionCase(listOf("Timeout"), "Timeout", isKept = true),
            OptionCase(listOf("Target"), "Target", isKept = true),
            OptionCase(listOf("Host"), "Host", isKept = true),
            OptionCase(listOf("Content-Length"), "Content-Length", isKept = true),
            OptionCase(listOf("Content-Type"), "Content-Type", isKept = true),
            OptionCase(listOf("Other"), "Other", isKept = false),
            OptionCase(emptyList(), "TE", isKept = false),
            OptionCase(emptyList(), "Other", isKept = true),
        ) { case ->
            val request = CallerRequest("POST", "/x", headers(case), ByteArray(1), arrivedAt = 0)
            val sent = ServerRequests.of(request, entry, names, remaining = 1).headers()
            sent.contains(case.name) shouldBe case.isKept
            sent.contains("Connection") shouldBe false
        }
    }

    data class HeaderCase(val connection: String, val left: Set<String>)

    // Guards against a success that is relayed without its proof.
    listOf(
        HeaderCase("close", setOf("Id", "Signature", "Other")),
        HeaderCase("Other", setOf("Id", "Signature")),
        HeaderCase("keep-alive, other", setOf("Id", "Signature")),
        HeaderCase("Signature", setOf("Id", "Signature", "Other")),
        HeaderCase("id, signature, Other", setOf("Id", "Signature")),
    ).forEach { case ->
        test("the headers of a response with Connection: ${case.connection}") {
            val headers = DefaultHttpHeaders()
            listOf("Id", "Signature", "Other", "Load", "Not-Run").forEach { headers.set(it, "x") }
            headers.set("Connection", case.connection)
            ServerRequests.answerHeaders(headers, names).names() shouldBe case.left
        }
    }
})
