/*
 * Splits the requests of a route between its services. Smooth weighted round robin keeps the shares close to the
 * weights over short periods too, which independent random choices would not.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServiceName

/** Chooses the service of each request; there is one per process. */
class TrafficSplit {
    private val credits = HashMap<String, HashMap<ServiceName, Int>>()

    /** Service for the next request on [route]; null if no service has a positive weight. */
    fun next(route: TrafficRoute): ServiceName? {
        val candidates = route.services.filter { it.weight > 0 }
        if (candidates.size <= 1) return candidates.firstOrNull()?.service
        val credit = credits.getOrPut(route.name) { HashMap() }
        credit.keys.retainAll(candidates.map { it.service }.toSet())
        candidates.forEach { credit.merge(it.service, it.weight, Int::plus) }
        val chosen = candidates.maxBy { credit.getValue(it.service) }.service
        credit.merge(chosen, -candidates.sumOf { it.weight }, Int::plus)
        return chosen
    }
}
