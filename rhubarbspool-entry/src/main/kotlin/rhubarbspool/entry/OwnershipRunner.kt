/*
 * Carries out what the ownership decisions of one service ask for: sends grants and releases, and writes the document.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.OrderResult
import rhubarbspool.ownership.Owner
import rhubarbspool.ownership.OwnershipCoordinator
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.ownership.OwnershipView
import rhubarbspool.traffic.TrafficService

/** Runs the coordination of [service]; every order is tried again by the decisions until it is not needed. */
internal class OwnershipRunner(
    private val service: TrafficService,
    private val context: ProcessContext,
    private val table: PlatformTable,
    private val orders: OwnershipOrders,
) {
    private val key = SharedRows.ownersOf(service.name)
    private var coordinator: OwnershipCoordinator? = null
    private var version = 0L
    private var fencing = false
    private var retryAt = 0L

    /** Decides and acts at [now]. */
    fun tick(view: OwnershipView, now: Now) {
        val current = coordinator
        if (current == null) {
            fence(now.monotonic)
        } else {
            current.tick(view, CALLS_PER_TICK, now).forEach { carryOut(current, it) }
        }
    }

    /** Takes in what an instance saw of the load. */
    fun loaded(report: LoadMessage) {
        val load = coordinator?.load ?: return
        val now = context.clock()
        report.ranges.forEachIndexed { index, range -> load.requested(range, report.counts[index], now) }
        report.servers.forEachIndexed { index, server ->
            load.answered(ServerName(server), report.answers[index], report.milliseconds[index])
        }
    }

    /**
     * Rewrites the document before anything else is done with it: a write of an earlier coordinator, or one of this
     * instance's own whose answer was lost, may still be carried out later, and this makes its condition fail.
     */
    private fun fence(now: Long) {
        if (fencing || now < retryAt) return
        val known = context.state.shared.ownership[service.name]
        val document = (known?.document ?: OwnershipDocument.empty()).takenOverBy(context.settings.instance.text)
        fencing = true
        retryAt = now + FENCE_RETRY_MILLISECONDS
        table.write(key, followed = true, known?.version ?: 0, document.encode()).whenComplete { result, failure ->
            fencing = false
            when (result) {
                is WriteResult.Written -> {
                    learn(document, result.version)
                    coordinator = OwnershipCoordinator(document, context.clock(), isNew = document.owners.isEmpty())
                }
                is WriteResult.Conflict -> adopt(result)
                null -> context.log.event("owners.unfenced", "service" to service.name, "cause" to failure?.message)
            }
        }
    }

    private fun adopt(conflict: WriteResult.Conflict) {
        val row = conflict.current ?: return
        context.log.event("owners.conflict", "service" to service.name, "version" to row.version)
        context.state.shared.merge(FeedItem.Shared(key, row.version, row.value))
    }

    private fun learn(document: OwnershipDocument, written: Long) {
        val servers = document.owners.size
        context.log.belief("owners", "service" to service.name, "version" to written, "servers" to servers)
        version = written
        context.state.shared.ownership[service.name] = VersionedOwnership(written, document)
    }

    private fun carryOut(current: OwnershipCoordinator, effect: OwnershipEffect) = when (effect) {
        is OwnershipEffect.Grant -> grant(current, effect)
        is OwnershipEffect.Release -> release(current, effect)
        is OwnershipEffect.Write -> write(current, effect.document)
    }

    private fun grant(current: OwnershipCoordinator, grant: OwnershipEffect.Grant) {
        val sentAt = context.clock()
        orders.grant(grant, current.document.ranges, service.healthPath).whenComplete { answer, failure ->
            val result = answer?.result ?: OrderResult.UNANSWERED
            if (result != OrderResult.ACCEPTED) logged("grant", grant.owner, grant.range, result, failure)
            current.onGrant(grant, result, sentAt, context.clock())
        }
    }

    private fun release(current: OwnershipCoordinator, release: OwnershipEffect.Release) {
        orders.release(release, current.document.ranges).whenComplete { answer, failure ->
            val result = answer?.result ?: OrderResult.UNANSWERED
            logged("release", release.owner, release.range, result, failure)
            current.onRelease(release, result, answer?.handover)
        }
    }

    private fun write(current: OwnershipCoordinator, document: OwnershipDocument) {
        table.write(key, followed = true, version, document.encode()).whenComplete { result, failure ->
            val written = result as? WriteResult.Written
            current.onWritten(written != null, context.clock())
            if (written != null) {
                learn(document, written.version)
            } else {
                context.log.event("owners.unwritten", "service" to service.name, "cause" to failure?.message)
                coordinator = null
            }
        }
    }

    private fun logged(
        order: String,
        owner: Owner,
        range: Int,
        result: OrderResult,
        failure: Throwable?,
    ) = context.log.event(
        order,
        "server" to owner.server,
        "range" to range,
        "result" to result,
        "cause" to failure?.message,
    )

    private companion object {
        /** Calls to servers in one tick of 20 ms; a thousand ranges are renewed in about two seconds. */
        const val CALLS_PER_TICK = 14
        const val FENCE_RETRY_MILLISECONDS = 200L
    }
}
