/*
 * Finds the route of a request: among the routes of its host, the one with the longest prefix that matches its path.
 */
package rhubarbspool.traffic

/** The routes of one configuration by host. */
class RouteIndex(routes: List<TrafficRoute>) {
    private val byHost = routes.groupBy { it.host }
        .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }

    /** Route of [target], a path with its query, on [host], which may include a port; null if no route matches. */
    fun find(host: String, target: String): TrafficRoute? {
        val path = target.substringBefore('?')
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }
}
