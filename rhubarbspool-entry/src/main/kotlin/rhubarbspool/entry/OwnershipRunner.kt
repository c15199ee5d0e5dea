/*
 * Executes the ownership decisions of one service, and writes its ownership document to the table.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.ownership.HoldTimes
import rhubarbspool.ownership.OwnershipCoordinator
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.ownership.OwnershipView
import rhubarbspool.traffic.TrafficService

/** Runs the coordinator of [service], which repeats each grant or release until it is no longer needed. */
internal class OwnershipRunner(
    private val service: TrafficService,
    private val context: ProcessContext,
    private val table: PlatformTable,
    orders: OwnershipOrders,
) {
    private val calls = OwnershipCalls(service, context, orders)
    private val key = SharedRows.ownersKey(service.name)
    private var coordinator: OwnershipCoordinator? = null
    private var version = 0L
    private var isFencing = false
    private var unconfirmed: OwnershipDocument? = null
    private var retryAt = 0L
    private val startedAt = context.clock()
    private var rewrittenEpoch = 0L

    /** Takes over the document if this has not happened yet; otherwise executes the effects that are due at [now]. */
    fun tick(view: OwnershipView, now: Now) {
        val current = coordinator
        if (current == null) {
            fence(now.monotonic)
        } else {
            rewriteIfRestored(current)
            unconfirmed?.takeIf { now.monotonic >= retryAt }?.let { write(current, it) }
            current.tick(view, CALLS_PER_TICK, now).forEach { execute(current, it) }
        }
    }

    /** Records the load that an instance reported. */
    fun recordLoad(report: LoadMessage) {
        val load = coordinator?.load ?: return
        val now = context.clock()
        report.keys.forEachIndexed { index, key -> load.recordRequests(key, report.counts[index], now) }
        report.servers.forEachIndexed { index, server ->
            load.recordAnswers(ServerName(server), report.answers[index], report.milliseconds[index])
            report.limits.getOrNull(index)?.let { load.recordLimit(ServerName(server), it.takeIf { it != NO_LIMIT }) }
        }
    }

    /**
     * Rewrites the document before any other change to it. A write by an earlier coordinator, or one by this instance
     * whose response was lost, may still be applied later; the new version makes its condition fail.
     */
    private fun fence(now: Long) {
        if (isFencing || now < retryAt) return
        val known = context.state.shared.ownership[service.name]
        if (known?.isConfirmed == false && now - startedAt < HoldTimes.LONGEST_HOLD) return
        val document = (known?.successor ?: OwnershipDocument.empty()).takenOverBy(context.settings.instance.text)
        isFencing = true
        retryAt = now + RETRY_MILLISECONDS
        val text = document.copy(epoch = table.epoch).encode()
        val write = table.write(key, followed = true, known?.version ?: 0, text)
        context.tasks.onResult("owners.fence", write) { result, failure ->
            isFencing = false
            when (result) {
                is WriteResult.Written -> {
                    recordOwnership(document, result.version)
                    rewrittenEpoch = TableVersion.epoch(result.version)
                    coordinator = OwnershipCoordinator(document, context.clock(), isNew = document.owners.isEmpty())
                }
                is WriteResult.Conflict -> onConflict(result)
                null -> context.log.event("owners.unfenced", "service" to service.name, "cause" to failure?.message)
            }
        }
    }

    /** A table that was restored lacks the last documents, which no other instance may take for the present ones. */
    private fun rewriteIfRestored(current: OwnershipCoordinator) {
        if (table.epoch <= rewrittenEpoch) return
        rewrittenEpoch = table.epoch
        context.log.belief("owners", "service" to service.name, "state" to "rewriting", "epoch" to rewrittenEpoch)
        current.mustRewrite = true
    }

    private fun onConflict(conflict: WriteResult.Conflict) {
        val row = conflict.current
        val shared = context.state.shared
        context.log.event("owners.conflict", "service" to service.name, "version" to row?.version)
        if (row == null) {
            shared.ownership.computeIfPresent(service.name) { _, known -> known.copy(version = 0) }
        } else {
            shared.merge(FeedItem.Shared(key, row.version, row.value))
        }
    }

    private fun recordOwnership(document: OwnershipDocument, writtenVersion: Long) {
        val servers = document.owners.size
        context.log.belief("owners", "service" to service.name, "version" to writtenVersion, "servers" to servers)
        version = writtenVersion
        context.state.shared.ownership[service.name] = VersionedOwnership(writtenVersion, document)
    }

    private fun execute(current: OwnershipCoordinator, effect: OwnershipEffect) = when (effect) {
        is OwnershipEffect.Grant -> calls.grant(current, effect)
        is OwnershipEffect.Release -> calls.release(current, effect)
        is OwnershipEffect.Write -> write(current, effect.document)
    }

    /** A write without a response may still be applied, so the same document is written until a write is confirmed. */
    private fun write(current: OwnershipCoordinator, document: OwnershipDocument) {
        val text = document.copy(epoch = table.epoch).encode()
        unconfirmed = null
        context.tasks.onResult("owners.write", table.write(key, followed = true, version, text)) { result, failure ->
            val found = (result as? WriteResult.Conflict)?.current
            val isRestored = TableVersion.epoch(version) < table.epoch
            when {
                result is WriteResult.Written -> onWritten(current, document, result.version)
                found != null && found.value == text -> onWritten(current, document, found.version)
                result != null && isRestored && document.isLaterThan(found?.value) -> {
                    version = found?.version ?: 0
                    unconfirmed = document
                }
                result != null -> onSuperseded()
                else -> {
                    context.log.event("owners.unwritten", "service" to service.name, "cause" to failure?.message)
                    unconfirmed = document
                    retryAt = context.clock() + RETRY_MILLISECONDS
                }
            }
        }
    }

    private fun onWritten(current: OwnershipCoordinator, document: OwnershipDocument, version: Long) {
        current.onWritten(context.clock())
        recordOwnership(document, version)
    }

    /** Another process wrote the document, so the holders known here are out of date. */
    private fun onSuperseded() {
        context.log.event("owners.superseded", "service" to service.name, "version" to version)
        coordinator = null
    }

    private companion object {
        /**
         * Calls to servers in one tick of 20 ms. At this rate a third of 1,000 ranges moves within a second, and during
         * a table outage all grants are renewed for a long time within about a second, before the lease expires.
         */
        const val CALLS_PER_TICK = 20
        const val RETRY_MILLISECONDS = 200L
    }
}
