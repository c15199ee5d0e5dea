/*
 * The head of another response in a body is found wherever the body is divided into parts.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.netty.buffer.Unpooled

class StatusLineScannerTest : FunSpec({
    data class BodyCase(val what: String, val body: String, val found: List<Boolean>)

    fun found(parts: List<String>): List<Boolean> {
        val scanner = StatusLineScanner { "Id: a\r\n" in it }
        parts.forEach { scanner.scan(Unpooled.copiedBuffer(it, Charsets.US_ASCII)) }
        return listOf(scanner.hasStatusLine, scanner.hasRepeat, scanner.begunBytes > 0)
    }

    val repeat = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
    val farText = "x".repeat(1_010) + "Id: a\r\n"

    // Whether there is a status line, a repeated response, and the begin of a status line at the end.
    listOf(
        BodyCase("no status line", "HHTTP/1.1 x HTTP/2.0 200 and HTTP", listOf(false, false, true)),
        BodyCase("other text at the end", "HTTP/1.1 x", listOf(false, false, false)),
        BodyCase("a status line that is cut off in its status", "HTTP/1.1 2", listOf(true, false, false)),
        BodyCase("a status line", "some HTTP/1.0 404 text", listOf(true, false, false)),
        BodyCase("a repeated response", "some $repeat text", listOf(true, true, false)),
        BodyCase("a repeated response behind another status line", "HTTP/1.1 404 $repeat", listOf(true, true, false)),
        BodyCase("an id far behind a status line", "HTTP/1.1 404 $farText", listOf(true, false, false)),
        BodyCase("a status line and the begin of one", "HTTP/1.1 404 HTTP/1.1 ", listOf(true, false, true)),
    ).forEach { case ->
        test("a body with ${case.what}") {
            val body = case.body
            body.indices.filter { found(listOf(body.take(it), body.drop(it))) != case.found }.shouldBeEmpty()
            (1..20).filter { found(body.chunked(it)) != case.found }.shouldBeEmpty()
        }
    }
})
