/*
 * Divides the requests of a route between its services. Smooth weighted round robin keeps the shares close to the
 * weights over short spans too, which independent draws would not.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServiceName

/** Chooses the service of each request; one for each process. */
class TrafficSplit {
    private val credits = HashMap<String, HashMap<ServiceName, Int>>()

    /** The service of the next request on [route]; null when no service has a weight. */
    fun next(route: TrafficRoute): ServiceName? {
        val parts = route.services.filter { it.weight > 0 }
        if (parts.size <= 1) return parts.firstOrNull()?.service
        val current = credits.getOrPut(route.name) { HashMap() }
        current.keys.retainAll(parts.map { it.service }.toSet())
        parts.forEach { current.merge(it.service, it.weight, Int::plus) }
        val chosen = parts.maxBy { current.getValue(it.service) }.service
        current.merge(chosen, -parts.sumOf { it.weight }, Int::plus)
        return chosen
    }
}
