/*
 * The route of a request is the one of its host with the longest matching prefix.
 */
package rhubarbspool.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import rhubarbspool.model.ServiceName

private fun route(name: String, host: String, prefix: String) =
    TrafficRoute(name, host, prefix, RequestKind.SAFE, 1_000, 500, 1, listOf(WeightedService(ServiceName("s"), 1)), 1)

private data class RouteCase(val host: String, val target: String, val expected: String?)

class RouteIndexTest : FunSpec({
    val index = RouteIndex(
        listOf(
            route("all", "a.example", "/"),
            route("boats", "a.example", "/boats/"),
            route("eights", "a.example", "/boats/eights/"),
            route("other", "b.example", "/boats/"),
        ),
    )

    withData(
        RouteCase("a.example", "/boats/eights/7", "eights"),
        RouteCase("a.example", "/boats/7?x=/boats/eights/", "boats"),
        RouteCase("a.example", "/boats", "all"),
        RouteCase("A.Example:8080", "/boats/1", "boats"),
        RouteCase("b.example", "/boats/1", "other"),
        RouteCase("b.example", "/rota/1", null),
        RouteCase("c.example", "/boats/1", null),
    ) { (host, target, expected) ->
        index.find(host, target)?.name shouldBe expected
    }
})
