/*
 * The table stops answering: before the coordinator's lease lapses, each grant must have been renewed for the longest
 * hold, since nobody can renew it until the table is back. The earliest hold to end is the one that counts.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

/** A lease and a coordinator whose calls to [servers] servers are answered after one tick. */
private class OutageRun(servers: Int, private val lateTicks: Int) {
    private val entries = (1..servers).map { number ->
        val address = Address("10.0.0.1", number)
        val domain = FailureDomainName("d")
        BackendEntry(ServerName("s$number"), 1, ServiceName("x"), address, domain, 2, ServerState.READY, 0)
    }
    private val document = entries.map(OwnershipPlan::ownerOf).let { owners ->
        val ranges = OwnershipPlan.rangeCount(servers)
        OwnershipDocument.empty(ranges).with((0 until ranges).associateWith { owners[it % servers] })
    }
    private val coordinator = OwnershipCoordinator(document, 0, isNew = true)
    private val lease = CoordinatorLease("a")
    private val heldUntil = HashMap<KeyRange, Long>()

    /** Returns when the first hold ends, for a table that answers until [outageAt] and never again. */
    fun firstExpiry(outageAt: Long): Long {
        var now = 0L
        var unanswered = emptyList<OwnershipEffect.Grant>()
        while (now < outageAt + CoordinatorLease.LEASE_MILLISECONDS) {
            tickLease(Now(now, now), isTableUp = now < outageAt)
            unanswered.forEach { coordinator.onGrant(it, OrderResult.ACCEPTED, now - TICK, now) }
            unanswered = emptyList()
            if (lease.isHeld(Now(now, now)) && (now / TICK) % lateTicks == 0L) unanswered = sendGrants(now)
            now += TICK
        }
        return heldUntil.values.min()
    }

    private fun tickLease(now: Now, isTableUp: Boolean) {
        val step = lease.nextStep(0, now)
        lease.onStepStarted(step, now)
        when {
            !isTableUp -> Unit
            step == LeaseStep.READ -> lease.onRowRead(lease.knownHolder, lease.expectedVersion, now)
            step == LeaseStep.WRITE -> lease.onWritten(lease.expectedVersion + 1, now)
        }
    }

    private fun sendGrants(now: Long): List<OwnershipEffect.Grant> {
        val isUnavailable = lease.isTableUnavailable(Now(now, now))
        val view = OwnershipView(entries, entries.associateBy { it.address }, emptySet(), isUnavailable)
        val grants = coordinator.tick(view, CALLS, Now(now, now)).filterIsInstance<OwnershipEffect.Grant>()
        grants.forEach { heldUntil[it.keys] = now + it.holdMilliseconds }
        return grants
    }

    private companion object {
        const val TICK = 20L

        /** Calls that the runner lets the coordinator send in one tick. */
        const val CALLS = 20
    }
}

class OutageRenewalTest : FunSpec({
    data class OutageCase(val description: String, val servers: Int, val lateTicks: Int)

    listOf(
        OutageCase("few servers", servers = 3, lateTicks = 1),
        OutageCase("many servers", servers = 140, lateTicks = 1),
        OutageCase("a busy machine that is late for every other tick", servers = 140, lateTicks = 2),
    ).forEach { (description, servers, lateTicks) ->
        test("no hold ends within eight seconds of an outage: $description") {
            (0L until 1_000L step 100L).forEach { offset ->
                val outageAt = 20_000L + offset
                OutageRun(servers, lateTicks).firstExpiry(outageAt) shouldBeGreaterThan outageAt + OUTAGE
            }
        }
    }
})

private const val OUTAGE = 8_000L
