/*
 * At most one instance holds the lease at a time, despite lost responses and suspended processes.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import rhubarbspool.model.Now

class CoordinatorLeaseTest : FunSpec({
    fun now(milliseconds: Long) = Now(milliseconds, WALL + milliseconds)

    fun acquire(lease: CoordinatorLease, at: Long) {
        lease.onStepStarted(LeaseStep.READ, now(at))
        lease.onRowRead(null, 0, now(at))
        lease.onStepStarted(LeaseStep.WRITE, now(at))
        lease.onWritten(1, now(at + 5))
    }

    test("a free lease is written by the instance of the first rank at once and by the next rank after a delay") {
        val lease = CoordinatorLease("a")
        lease.nextStep(0, now(0)) shouldBe LeaseStep.READ
        lease.onStepStarted(LeaseStep.READ, now(0))
        lease.onRowRead(null, 0, now(1))
        lease.nextStep(0, now(1)) shouldBe LeaseStep.WRITE
        lease.nextStep(1, now(1)) shouldBe LeaseStep.NOTHING
        lease.nextStep(1, now(400)) shouldBe LeaseStep.WRITE
    }

    test("the lease starts when the write is sent") {
        val lease = CoordinatorLease("a")
        acquire(lease, 0)
        lease.isHeld(now(CoordinatorLease.LEASE_MILLISECONDS - 1)) shouldBe true
        lease.isHeld(now(CoordinatorLease.LEASE_MILLISECONDS)) shouldBe false
    }

    test("the lease of a suspended holder expires although its monotonic clock stopped") {
        val lease = CoordinatorLease("a")
        acquire(lease, 0)
        lease.isHeld(Now(100, WALL + 100 + 9_000)) shouldBe false
    }

    test("another instance takes over only after the row has not changed for longer than the hold") {
        val lease = CoordinatorLease("b")
        lease.onStepStarted(LeaseStep.READ, now(0))
        lease.onRowRead("a", 7, now(0))
        lease.nextStep(0, now(CoordinatorLease.LEASE_MILLISECONDS)) shouldBe LeaseStep.READ
        lease.onStepStarted(LeaseStep.READ, now(CoordinatorLease.LEASE_MILLISECONDS))
        lease.onRowRead("a", 8, now(CoordinatorLease.LEASE_MILLISECONDS))
        lease.nextStep(0, now(CoordinatorLease.TAKEOVER_MILLISECONDS + 100)) shouldNotBe LeaseStep.WRITE
    }

    data class RemovedCase(val what: String, val tableVersion: Long, val step: LeaseStep)

    // Guards against a removed row, which has no version, that is taken for an older state and never written again.
    listOf(
        RemovedCase("after the known version", tableVersion = 8, step = LeaseStep.WRITE),
        RemovedCase("before the known version, in a late response", tableVersion = 6, step = LeaseStep.NOTHING),
    ).forEach { case ->
        test("a known row that is found to be missing ${case.what}") {
            val lease = CoordinatorLease("b/10.0.0.2:1/1")
            lease.onStepStarted(LeaseStep.READ, now(0))
            lease.onRowRead("a/10.0.0.1:1/1", 7, now(0))
            lease.onRowRead(null, 0, now(100), tableVersion = case.tableVersion)
            lease.nextStep(0, now(100)) shouldBe case.step
            lease.expectedVersion shouldBe if (case.step == LeaseStep.WRITE) 0 else 7
        }
    }

    test("a row that was released and taken by another instance is not written") {
        val lease = CoordinatorLease("b/10.0.0.2:1/1")
        lease.onRowRead("a/10.0.0.1:1/1", 7, now(0))
        lease.onRowRead(null, 0, now(100), tableVersion = 8)
        lease.onRowRead("c/10.0.0.3:1/1", 9, now(200))
        lease.nextStep(0, now(300)) shouldNotBe LeaseStep.WRITE
    }

    data class RestoredCase(val description: String, val holder: String?, val version: Long)

    listOf(
        RestoredCase("names no holder", null, 0),
        RestoredCase("names an earlier holder", "c/10.0.0.3:1/1", 7),
        RestoredCase("names this process, which held it earlier", "a/10.0.0.1:1/2000", 7),
        RestoredCase("names the previous incarnation of this process", "a/10.0.0.1:1/1000", 7),
    ).forEach { case ->
        test("a restored row that ${case.description} is not taken while another process may hold the lease") {
            val lease = CoordinatorLease("a/10.0.0.1:1/2000")
            lease.onRowRead("b/10.0.0.2:1/1", 9, now(0))
            lease.onRowRead(case.holder, case.version, now(100), epoch = 1)
            lease.nextStep(0, now(100 + CoordinatorLease.LEASE_MILLISECONDS)) shouldNotBe LeaseStep.WRITE
            lease.nextStep(0, now(100 + CoordinatorLease.TAKEOVER_MILLISECONDS)) shouldBe LeaseStep.WRITE
        }

        test("the holder of the lease keeps it while it lasts when a restored row ${case.description}") {
            val lease = CoordinatorLease("a/10.0.0.1:1/2000")
            acquire(lease, 0)
            lease.onRowRead(case.holder, case.version, now(1_100), epoch = 1)
            lease.isHeld(now(1_100)) shouldBe true
            lease.isInterrupted shouldBe false
            lease.nextStep(0, now(1_100)) shouldBe LeaseStep.WRITE
            lease.expectedVersion shouldBe case.version
        }

        test("a holder whose lease has run out waits like others when a restored row ${case.description}") {
            val lease = CoordinatorLease("a/10.0.0.1:1/2000")
            acquire(lease, 0)
            lease.onRowRead(case.holder, case.version, now(3_000), epoch = 1)
            lease.isInterrupted shouldBe true
            lease.nextStep(0, now(3_000 + CoordinatorLease.LEASE_MILLISECONDS)) shouldNotBe LeaseStep.WRITE
        }
    }

    test("a response from before the table was restored changes nothing") {
        val lease = CoordinatorLease("a")
        lease.onRowRead("b", 3, now(100), epoch = 1)
        lease.onRowRead("c", 900, now(200), epoch = 0)
        lease.knownHolder shouldBe "b"
    }

    test("a restarted instance takes over from its previous incarnation at once, whatever its rank") {
        val lease = CoordinatorLease("a/10.0.0.1:1/2000")
        lease.nextStep(LAST_RANK, now(0)) shouldBe LeaseStep.READ
        lease.onStepStarted(LeaseStep.READ, now(0))
        lease.onRowRead("a/10.0.0.1:1/1000", 7, now(5))
        lease.nextStep(LAST_RANK, now(5)) shouldBe LeaseStep.WRITE
    }

    listOf("a-1/10.0.0.1:1/1000", "a/10.0.0.2:1/1000").forEach { holder ->
        test("a process waits for the lease of $holder to expire") {
            val lease = CoordinatorLease("a/10.0.0.1:1/2000")
            lease.onStepStarted(LeaseStep.READ, now(0))
            lease.onRowRead(holder, 7, now(5))
            lease.nextStep(0, now(5)) shouldBe LeaseStep.NOTHING
        }
    }

    test("an outage of the table does not let another instance take over") {
        val lease = CoordinatorLease("b")
        lease.onStepStarted(LeaseStep.READ, now(0))
        lease.onRowRead("a", 7, now(0))
        val recoveredAt = 3 * CoordinatorLease.TAKEOVER_MILLISECONDS
        lease.onReadFailed(now(recoveredAt))
        lease.nextStep(0, now(recoveredAt + CoordinatorLease.TAKEOVER_MILLISECONDS - 1)) shouldNotBe LeaseStep.WRITE
        lease.nextStep(0, now(recoveredAt + CoordinatorLease.TAKEOVER_MILLISECONDS)) shouldBe LeaseStep.WRITE
    }

    test("a holder whose renewals failed resumes unless another one has held the lease") {
        val lease = CoordinatorLease("a")
        acquire(lease, 0)
        lease.onStepStarted(LeaseStep.WRITE, now(1_000))
        lease.onWriteFailed()
        lease.isTableUnavailable(now(1_001)) shouldBe true
        lease.isHeld(now(8_000)) shouldBe false
        lease.isInterrupted shouldBe false
        lease.onStepStarted(LeaseStep.WRITE, now(8_000))
        lease.onWritten(2, now(8_005))
        lease.isHeld(now(8_005)) shouldBe true
        lease.onRowRead("b", 9, now(20_000))
        lease.isInterrupted shouldBe true
    }

    test("a holder that reads another holder's row stops at once") {
        val lease = CoordinatorLease("a")
        acquire(lease, 0)
        lease.onRowRead("b", 2, now(100))
        lease.isHeld(now(100)) shouldBe false
    }

    test("a write without a response does not extend the lease") {
        val lease = CoordinatorLease("a")
        acquire(lease, 0)
        lease.onStepStarted(LeaseStep.WRITE, now(1_000))
        lease.onWriteFailed()
        lease.isTableUnavailable(now(1_600)) shouldBe true
        lease.isHeld(now(CoordinatorLease.LEASE_MILLISECONDS)) shouldBe false
    }
})

private const val WALL = 1_000_000_000L
private const val LAST_RANK = 20
