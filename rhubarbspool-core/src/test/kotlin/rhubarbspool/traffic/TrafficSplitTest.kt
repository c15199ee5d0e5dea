/*
 * Requests are split in proportion to the weights, over short periods too.
 */
package rhubarbspool.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import rhubarbspool.model.ServiceName

private data class SplitCase(val weights: List<Int>, val requests: Int, val expected: List<Int>)

class TrafficSplitTest : FunSpec({
    withData(
        SplitCase(listOf(1), 10, listOf(10)),
        SplitCase(listOf(90, 10), 100, listOf(90, 10)),
        SplitCase(listOf(50, 30, 20), 10, listOf(5, 3, 2)),
        SplitCase(listOf(1, 0), 7, listOf(7, 0)),
    ) { (weights, requests, expected) ->
        val services = weights.mapIndexed { index, weight -> WeightedService(ServiceName("s$index"), weight) }
        val route = TrafficRoute("r", "h", "/", RequestKind.SAFE, 1_000, 500, 1, services, 1)
        val split = TrafficSplit()
        val counts = (1..requests).groupingBy { split.next(route) }.eachCount()
        services.map { counts[it.service] ?: 0 } shouldBe expected
    }

    test("a route without weights has no service") {
        val route = TrafficRoute("r", "h", "/", RequestKind.SAFE, 1_000, 500, 1, emptyList(), 1)
        TrafficSplit().next(route) shouldBe null
    }
})
