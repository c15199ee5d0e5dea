/*
 * Sends grants and releases to servers and reports their results to the coordinator.
 */
package rhubarbspool.entry

import rhubarbspool.ownership.KeyRange
import rhubarbspool.ownership.OrderResult
import rhubarbspool.ownership.Owner
import rhubarbspool.ownership.OwnershipCoordinator
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.traffic.TrafficService

/** Grant and release calls to the servers of [service]. */
internal class OwnershipCalls(
    private val service: TrafficService,
    private val context: ProcessContext,
    private val orders: OwnershipOrders,
) {
    /** Sends [grant] and passes its result to [coordinator]. */
    fun grant(coordinator: OwnershipCoordinator, grant: OwnershipEffect.Grant) {
        val sentAt = context.clock()
        context.tasks.onResult("grant", orders.grant(grant, service.healthPath)) { response, failure ->
            val result = response?.result ?: OrderResult.UNANSWERED
            if (result != OrderResult.ACCEPTED) logResult("grant", grant.owner, grant.keys, result, failure)
            coordinator.onGrant(grant, result, sentAt, context.clock())
        }
    }

    /** Sends [release] and passes its result to [coordinator]. */
    fun release(coordinator: OwnershipCoordinator, release: OwnershipEffect.Release) {
        context.tasks.onResult("release", orders.release(release)) { response, failure ->
            val result = response?.result ?: OrderResult.UNANSWERED
            logResult("release", release.owner, release.keys, result, failure)
            coordinator.onRelease(release, result, response?.handover)
        }
    }

    private fun logResult(
        order: String,
        owner: Owner,
        keys: KeyRange,
        result: OrderResult,
        failure: Throwable?,
    ) = context.log.event(
        order,
        "server" to owner.server,
        "range" to "${keys.first}-${keys.last}",
        "result" to result,
        "cause" to failure?.message,
    )
}
