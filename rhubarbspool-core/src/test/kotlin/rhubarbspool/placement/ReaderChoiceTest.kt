/*
 * The first instance in line reads, unless it failed a moment ago.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.InstanceName

class ReaderChoiceTest : FunSpec({
    val line = listOf("a", "b", "c").map(::InstanceName)

    test("the first in line reads") {
        ReaderChoice().choose(line, 0) shouldBe line[0]
    }

    test("one that failed is passed over and tried again later") {
        val choice = ReaderChoice()
        choice.passOver(line[0], 1_000)
        choice.choose(line, 1_001) shouldBe line[1]
        choice.choose(line, 6_000) shouldBe line[0]
    }

    test("nobody reads for others when all failed") {
        val choice = ReaderChoice()
        line.forEach { choice.passOver(it, 0) }
        choice.choose(line, 100) shouldBe null
    }
})
