/*
 * The headers of a server's response reach the caller without those that concern one connection only.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders

class ServerRequestsTest : FunSpec({
    val names = HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")

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
