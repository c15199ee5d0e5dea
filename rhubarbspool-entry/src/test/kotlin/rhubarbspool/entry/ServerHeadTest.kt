/*
 * What the head of a response says of its server: that it leaves, and for how long it wants no request.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders

private data class HeadCase(
    val what: String,
    val status: Int,
    val headers: List<Pair<String, String>>,
    val leaves: Boolean = false,
    val pause: Long? = null,
)

class ServerHeadTest : FunSpec({
    val names = HeaderNames("Id", "Timeout", "Target", "Signature", "Not-Run", "Load", "Limit", "Leaving", "Key")

    withData<HeadCase>(
        { it.what },
        HeadCase("a server that leaves", 200, listOf("Leaving" to "1"), leaves = true),
        HeadCase("a fault of a server that leaves", 500, listOf("Leaving" to "1"), leaves = true),
        HeadCase("a refusal of a server that leaves", 503, listOf("Leaving" to "1"), leaves = true),
        HeadCase("the header twice", 200, listOf("Leaving" to "0", "Leaving" to "1"), leaves = true),
        HeadCase("another value", 200, listOf("Leaving" to "true")),
        HeadCase("a misdirected request, which another server may have got", 421, listOf("Leaving" to "1")),
        HeadCase("seconds", 503, listOf("Retry-After" to "5"), pause = 5_000),
        HeadCase("a fraction of a second", 503, listOf("Retry-After" to "0.25"), pause = 250),
        HeadCase("seconds beside another status", 429, listOf("Retry-After" to "5")),
        HeadCase("a date", 503, listOf("Retry-After" to "Sun, 06 Dec 2026 08:00:00 GMT")),
        HeadCase("a negative number", 503, listOf("Retry-After" to "-5")),
        HeadCase("nothing", 503, listOf("Retry-After" to "")),
        HeadCase("two values", 503, listOf("Retry-After" to "5", "Retry-After" to "1")),
    ) { case ->
        val headers = DefaultHttpHeaders()
        case.headers.forEach { (name, value) -> headers.add(name, value) }
        val head = ServerHead(case.status, headers, isFramed = true, reusable = true)
        head.announcesLeaving(names) shouldBe case.leaves
        head.pauseMilliseconds shouldBe case.pause
    }
})
