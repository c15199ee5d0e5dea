/*
 * The first instance in the order reads, unless it failed recently.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.InstanceName

class ReaderChoiceTest : FunSpec({
    val ranked = listOf("a", "b", "c").map(::InstanceName)

    test("the first in the order reads") {
        ReaderChoice().choose(ranked, 0) shouldBe ranked[0]
    }

    test("an instance that failed is avoided and tried again later") {
        val choice = ReaderChoice()
        choice.recordFailure(ranked[0], 1_000)
        choice.choose(ranked, 1_001) shouldBe ranked[1]
        choice.choose(ranked, 6_000) shouldBe ranked[0]
    }

    test("no instance is chosen if all failed") {
        val choice = ReaderChoice()
        ranked.forEach { choice.recordFailure(it, 0) }
        choice.choose(ranked, 100) shouldBe null
    }
})
