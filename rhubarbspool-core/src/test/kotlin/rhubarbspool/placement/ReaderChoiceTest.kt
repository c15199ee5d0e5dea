/*
 * The first instance in line reads, unless it failed a moment ago.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.InstanceName

class ReaderChoiceTest : FunSpec({
    val ranked = listOf("a", "b", "c").map(::InstanceName)

    test("the first in order reads") {
        ReaderChoice().choose(ranked, 0) shouldBe ranked[0]
    }

    test("one that failed is passed over and tried again later") {
        val choice = ReaderChoice()
        choice.recordFailure(ranked[0], 1_000)
        choice.choose(ranked, 1_001) shouldBe ranked[1]
        choice.choose(ranked, 6_000) shouldBe ranked[0]
    }

    test("nobody reads for others when all failed") {
        val choice = ReaderChoice()
        ranked.forEach { choice.recordFailure(it, 0) }
        choice.choose(ranked, 100) shouldBe null
    }
})
