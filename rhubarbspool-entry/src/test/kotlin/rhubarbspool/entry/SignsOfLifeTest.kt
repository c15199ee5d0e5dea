/*
 * Another instance that asks for signs of life without end is told apart from one that does so regularly.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class SignsCase(val what: String, val count: Int, val interval: Long, val isExcessive: Boolean)

class SignsOfLifeTest : FunSpec({
    withData<SignsCase>(
        { it.what },
        SignsCase("pings and versions of a busy connection", count = 10_000, interval = 50, isExcessive = false),
        SignsCase("pings that were held back", count = 20, interval = 0, isExcessive = false),
        SignsCase("as many as are allowed in a second", count = 100, interval = 0, isExcessive = false),
        SignsCase("one more", count = 101, interval = 0, isExcessive = true),
        SignsCase("pings without end", count = 10_000, interval = 1, isExcessive = true),
    ) { case ->
        val signs = SignsOfLife()
        (0 until case.count).any { signs.isExcessive(START + it * case.interval) } shouldBe case.isExcessive
    }
})

private const val START = 50_000L
