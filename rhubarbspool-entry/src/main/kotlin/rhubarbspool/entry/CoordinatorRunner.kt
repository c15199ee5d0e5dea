/*
 * Carries out what the ownership decisions ask for: keeps the coordinator's lease, and while this instance holds it,
 * sends grants and releases and writes ownership documents.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.CoordinatorLease
import rhubarbspool.ownership.LeaseStep
import rhubarbspool.ownership.OrderResult
import rhubarbspool.ownership.OwnershipCoordinator
import rhubarbspool.ownership.OwnershipDocument
import rhubarbspool.ownership.OwnershipEffect
import rhubarbspool.ownership.OwnershipView
import rhubarbspool.placement.Rendezvous

/** Coordinates ownership while this instance holds the lease. */
internal class CoordinatorRunner(
    private val settings: EntrySettings,
    private val state: EntryState,
    private val table: PlatformTable,
    private val orders: OwnershipOrders,
    private val log: DecisionLog,
    private val now: () -> Now,
) {
    private class Running(val service: ServiceName) {
        val key = EntryState.OWNERS_PREFIX + service
        var coordinator: OwnershipCoordinator? = null
        var version = 0L
        var writing = false
        var retryAt = 0L
    }

    private val self = "${settings.instance}/${now().wall}"
    private val lease = CoordinatorLease(self)
    private val running = HashMap<ServiceName, Running>()
    private var held = false

    /** Whether this instance coordinates. */
    val isCoordinator: Boolean get() = held

    /** Takes the next steps. */
    fun tick() {
        val time = now()
        if (state.versions[Feed.SHARED] == null || state.versions[Feed.SERVERS] == null) return
        when (lease.next(rank(), time)) {
            LeaseStep.READ -> read(time)
            LeaseStep.WRITE -> write(time)
            LeaseStep.NOTHING -> Unit
        }
        val holds = lease.isHeld(time)
        if (holds != held) {
            held = holds
            if (!holds) running.clear()
            log.belief("coordinator", "held" to holds, "holder" to lease.knownHolder, "version" to lease.condition)
        }
        if (holds) coordinate(time)
    }

    /** Gives the lease up for a planned stop. */
    fun stop() {
        if (!held) return
        held = false
        running.clear()
        lease.drop()
        table.write(LEASE_KEY, followed = false, lease.condition, null).whenComplete { _, failure ->
            if (failure != null) log.event("coordinator.not-released", "cause" to failure.message)
        }
    }

    /** Takes in what an instance saw of a service's load. */
    fun loaded(report: LoadMessage) {
        val load = running[ServiceName(report.service)]?.coordinator?.load ?: return
        val time = now().monotonic
        report.ranges.forEachIndexed { index, range -> load.requested(range, report.counts[index], time) }
        report.servers.forEachIndexed { index, server ->
            load.answered(ServerName(server), report.answers[index], report.milliseconds[index])
        }
    }

    /** Others come first in a fixed order that the current holder has no part in. */
    private fun rank(): Int {
        val holder = lease.knownHolder?.substringBefore('/')
        val order = Rendezvous.order(LEASE_KEY, state.members.values.filter { it.instance.text != holder }) { it.instance.text }
        return order.indexOfFirst { it.instance == settings.instance }.let { if (it < 0) order.size else it }
    }

    private fun read(time: Now) {
        lease.reading(time)
        table.readUnfollowed(LEASE_KEY).whenComplete { row, failure ->
            if (failure == null) lease.observed(row?.value, row?.version ?: 0, now())
        }
    }

    private fun write(time: Now) {
        lease.writing(time)
        table.write(LEASE_KEY, followed = false, lease.condition, self).whenComplete { result, failure ->
            when {
                failure != null -> lease.unwritten()
                result is WriteResult.Written -> lease.written(result.version, now())
                result is WriteResult.Conflict -> {
                    lease.unwritten()
                    lease.observed(result.current?.value, result.current?.version ?: 0, now())
                }
            }
        }
    }

    private fun coordinate(time: Now) {
        val configuration = state.configuration ?: return
        configuration.services.values.filter { it.sharded }.forEach { service ->
            val entry = running[service.name] ?: Running(service.name).also { running[service.name] = it }
            val coordinator = entry.coordinator
            if (coordinator == null) {
                fence(entry, time)
            } else {
                coordinator.tick(view(service.name, time), CALLS_PER_TICK, time)
                    .forEach { carryOut(entry, coordinator, it) }
            }
        }
    }

    /**
     * Rewrites the document before anything else is done with it: a write of an earlier coordinator, or one of this
     * instance's own whose answer was lost, may still be carried out later, and this makes its condition fail.
     */
    private fun fence(entry: Running, time: Now) {
        if (entry.writing || time.monotonic < entry.retryAt) return
        val known = state.ownership[entry.service]
        val document = (known?.document ?: OwnershipDocument.empty()).copy(coordinator = settings.instance.text)
        entry.writing = true
        table.write(entry.key, followed = true, known?.version ?: 0, document.encode()).whenComplete { result, failure ->
            entry.writing = false
            entry.retryAt = now().monotonic + FENCE_RETRY_MILLISECONDS
            when (result) {
                is WriteResult.Written -> {
                    log.belief("owners", "service" to entry.service, "version" to result.version, "fenced" to true)
                    state.ownership[entry.service] = VersionedOwnership(result.version, document)
                    entry.version = result.version
                    entry.coordinator = OwnershipCoordinator(document, now().monotonic, isNew = document.owners.isEmpty())
                }
                is WriteResult.Conflict -> adopt(entry, result)
                null -> log.event("owners.unfenced", "service" to entry.service, "cause" to failure?.message)
            }
        }
    }

    private fun adopt(entry: Running, conflict: WriteResult.Conflict) {
        val row = conflict.current ?: return
        log.event("owners.conflict", "service" to entry.service, "version" to row.version)
        state.ownership[entry.service] = VersionedOwnership(row.version, OwnershipDocument.decode(row.value.orEmpty()))
    }

    private fun view(service: ServiceName, time: Now) = OwnershipView(
        state.directory.all.filter { it.service == service },
        state.directory.all.associateBy { it.address },
        state.evacuated,
        lease.isTroubled(time),
    )

    private fun carryOut(entry: Running, coordinator: OwnershipCoordinator, effect: OwnershipEffect) = when (effect) {
        is OwnershipEffect.Grant -> grant(entry.service, coordinator, effect)
        is OwnershipEffect.Release -> release(coordinator, effect)
        is OwnershipEffect.Write -> writeDocument(entry, coordinator, effect.document)
    }

    private fun grant(service: ServiceName, coordinator: OwnershipCoordinator, effect: OwnershipEffect.Grant) {
        val sentAt = now().monotonic
        val healthPath = state.configuration?.services?.get(service)?.healthPath ?: "/"
        orders.grant(effect, coordinator.document.ranges, healthPath).whenComplete { answer, failure ->
            val result = answer?.result ?: OrderResult.UNANSWERED
            if (result != OrderResult.ACCEPTED) {
                log.event("grant.failed", "server" to effect.owner.server, "range" to effect.range, "fence" to effect.fence, "result" to result, "cause" to failure?.message)
            }
            coordinator.onGrant(effect, result, sentAt, now().monotonic)
        }
    }

    private fun release(coordinator: OwnershipCoordinator, effect: OwnershipEffect.Release) {
        orders.release(effect, coordinator.document.ranges).whenComplete { answer, failure ->
            val result = answer?.result ?: OrderResult.UNANSWERED
            log.event("release", "server" to effect.owner.server, "range" to effect.range, "fence" to effect.fence, "result" to result, "cause" to failure?.message)
            coordinator.onRelease(effect, result, answer?.handover)
        }
    }

    private fun writeDocument(entry: Running, coordinator: OwnershipCoordinator, document: OwnershipDocument) {
        table.write(entry.key, followed = true, entry.version, document.encode()).whenComplete { result, failure ->
            val written = result as? WriteResult.Written
            coordinator.onWritten(written != null, now().monotonic)
            if (written != null) {
                log.belief("owners", "service" to entry.service, "version" to written.version, "servers" to document.owners.size)
                entry.version = written.version
                state.ownership[entry.service] = VersionedOwnership(written.version, document)
            } else {
                log.event("owners.unwritten", "service" to entry.service, "cause" to failure?.message)
                entry.coordinator = null
            }
        }
    }

    private companion object {
        const val LEASE_KEY = "coordinator"

        /** Calls to servers in one tick of 20 ms; a thousand ranges are renewed in about two seconds. */
        const val CALLS_PER_TICK = 14
        const val FENCE_RETRY_MILLISECONDS = 200L
    }
}
