/*
 * Finds the route of a request: the one of its host with the longest prefix that begins the path.
 */
package rhubarbspool.traffic

/** The routes of one configuration by host. */
class RouteIndex(routes: List<TrafficRoute>) {
    private val byHost = routes.groupBy { it.host }
        .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }

    /** The route of [target], a path with its query, at [host], which may carry a port; null when there is none. */
    fun find(host: String, target: String): TrafficRoute? {
        val path = target.substringBefore('?')
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }
}
