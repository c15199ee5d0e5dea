/*
 * An instance assumes an outage of the table after a failed call of its own, or after failures of several others.
 */
package rhubarbspool.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.InstanceName

class TableOutageTest : FunSpec({
    data class OutageCase(
        val what: String,
        val failures: List<Long>,
        val resignations: List<Pair<String, Long>>,
        val at: Long,
        val recent: Boolean,
        val answered: List<Long> = emptyList(),
    )

    listOf(
        OutageCase("nothing failed", emptyList(), emptyList(), 10_000, false),
        OutageCase("an own call failed", listOf(9_000), emptyList(), 10_000, true),
        OutageCase("an own call failed two seconds ago", listOf(8_000), emptyList(), 10_000, false),
        OutageCase("one reader resigned", emptyList(), listOf("a" to 9_500), 10_000, false),
        OutageCase("one reader resigned twice", emptyList(), listOf("a" to 9_000, "a" to 9_500), 10_000, false),
        OutageCase("two readers resigned", emptyList(), listOf("a" to 8_000, "b" to 9_500), 10_000, true),
        OutageCase("two readers resigned long apart", emptyList(), listOf("a" to 5_000, "b" to 9_500), 10_000, false),
        OutageCase("two readers failed a while ago", emptyList(), listOf("a" to 7_000, "b" to 8_000), 10_000, false),
        OutageCase("a reader repeats it", emptyList(), listOf("a" to 8_000, "b" to 9_000, "a" to 8_000), 9_500, true),
        OutageCase(
            "two readers resigned while own calls were answered",
            emptyList(),
            listOf("a" to 8_000, "b" to 9_500),
            10_000,
            false,
            answered = listOf(7_900, 8_800, 9_600),
        ),
        OutageCase(
            "two readers resigned before own calls were answered",
            emptyList(),
            listOf("a" to 8_000, "b" to 9_500),
            10_000,
            true,
            answered = listOf(9_600, 9_900),
        ),
        OutageCase(
            "two readers resigned after own calls were answered",
            emptyList(),
            listOf("a" to 8_000, "b" to 9_500),
            10_000,
            true,
            answered = listOf(7_000, 7_900),
        ),
        OutageCase(
            "two readers resigned between own calls that were far apart",
            emptyList(),
            listOf("a" to 8_000, "b" to 9_500),
            10_000,
            true,
            answered = listOf(1_000, 9_600),
        ),
        OutageCase(
            "an own call failed among answered ones",
            listOf(9_000),
            emptyList(),
            10_000,
            true,
            answered = listOf(8_000, 9_500),
        ),
    ).forEach { case ->
        test("${case.what}: ${if (case.recent) "" else "no "}recent outage") {
            val outage = TableOutage()
            (case.failures.map { it to outage::recordFailure } + case.answered.map { it to outage::recordAnswer })
                .sortedBy { it.first }.forEach { (at, event) -> event(at) }
            case.resignations.forEach { (name, at) -> outage.recordResignation(InstanceName(name), at) }
            outage.isRecent(case.at) shouldBe case.recent
        }
    }
})
