/*
 * An instance takes the table to have been out after its own failure, or after those of several others.
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
    )

    listOf(
        OutageCase("nothing failed", emptyList(), emptyList(), 10_000, false),
        OutageCase("an own call failed", listOf(9_000), emptyList(), 10_000, true),
        OutageCase("an own call failed two seconds ago", listOf(8_000), emptyList(), 10_000, false),
        OutageCase("one reader resigned", emptyList(), listOf("a" to 9_500), 10_000, false),
        OutageCase("one reader resigned twice", emptyList(), listOf("a" to 9_000, "a" to 9_500), 10_000, false),
        OutageCase("two readers resigned", emptyList(), listOf("a" to 8_000, "b" to 9_500), 10_000, true),
        OutageCase("two readers resigned long apart", emptyList(), listOf("a" to 5_000, "b" to 9_500), 10_000, false),
    ).forEach { case ->
        test("${case.what}: ${if (case.recent) "" else "no "}recent outage") {
            val outage = TableOutage()
            case.failures.forEach(outage::failed)
            case.resignations.forEach { (name, at) -> outage.resigned(InstanceName(name), at) }
            outage.isRecent(case.at) shouldBe case.recent
        }
    }
})
