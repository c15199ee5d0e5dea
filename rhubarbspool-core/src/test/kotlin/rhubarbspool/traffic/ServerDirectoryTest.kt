/*
 * Entries that expire around an outage of the table are kept for two seconds; all others are dropped at once.
 */
package rhubarbspool.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

class ServerDirectoryTest : FunSpec({
    val name = ServerName("s")
    val service = ServiceName("x")
    val domain = FailureDomainName("d")
    val entry = BackendEntry(name, 1, service, Address("10.0.0.1", 1), domain, 2, ServerState.READY, 0)

    test("a removal without an outage drops the server at once") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.remove(name, 10_000) shouldBe true
        directory[name] shouldBe null
    }

    test("a removal after an outage drops the server if it has not registered again within two seconds") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.remove(name, 10_500, afterOutage = true) shouldBe false
        directory.expire(12_499)
        directory[name] shouldBe entry
        directory.expire(12_500)
        directory[name] shouldBe null
    }

    test("a server whose entry is missing after an outage gets requests no longer than a draining one") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.remove(name, 10_500, afterOutage = true)
        directory.usable(service, 11_999) shouldBe listOf(entry)
        directory.usable(service, 12_000) shouldBe emptyList()
        directory.put(entry, 12_100)
        directory.usable(service, 12_100) shouldBe listOf(entry)
    }

    test("a server that registers again stays") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.remove(name, 10_500, afterOutage = true)
        directory.put(entry, 11_000)
        directory.expire(20_000)
        directory[name] shouldBe entry
    }

    data class CopyCase(
        val description: String,
        val known: BackendEntry?,
        val hasLeft: Boolean,
        val copy: BackendEntry,
        val expected: BackendEntry?,
    )

    val draining = entry.copy(state = ServerState.DRAINING, sequence = 9)
    val restarted = entry.copy(bornWall = 2, sequence = 1)
    val cold = entry.copy(coldUntil = 500)
    listOf(
        CopyCase("an earlier report of a draining server is ignored", draining, false, entry, draining),
        CopyCase("an earlier incarnation is ignored", restarted, false, entry.copy(sequence = 50), restarted),
        CopyCase("a later incarnation counts", entry, false, restarted, restarted),
        CopyCase("the same report does not make a server cold again", entry, false, cold, entry),
        CopyCase("a server that has left does not return", draining, true, entry, null),
        CopyCase("a server that has left and started again does", draining, true, restarted, restarted),
        CopyCase("a server that was not known before counts", null, false, entry, entry),
    ).forEach { case ->
        test("in a restored table, ${case.description}") {
            val directory = ServerDirectory()
            case.known?.let { directory.put(it, 0) }
            if (case.hasLeft) directory.remove(name, 50)
            directory.put(case.copy, 100, fromCopy = true)
            directory[name] shouldBe case.expected
        }
    }

    test("an entry that is still in the restored table after four seconds counts, one that was removed does not") {
        listOf(true, false).forEach { isRemoved ->
            val directory = ServerDirectory()
            directory.put(draining, 0)
            directory.remove(name, 50)
            directory.put(entry, 100, fromCopy = true)
            if (isRemoved) directory.remove(name, 2_000)
            directory.expire(4_099)
            directory[name] shouldBe null
            directory.expire(4_100)
            directory[name] shouldBe entry.takeUnless { isRemoved }
        }
    }

    test("draining servers and evacuated domains get no new requests") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.usable(service, NOW) shouldBe listOf(entry)
        directory.setEvacuated(domain, active = true, 100) shouldBe true
        directory.usable(service, NOW) shouldBe emptyList()
        directory.setEvacuated(domain, active = false, 200) shouldBe true
        directory.usable(service, NOW) shouldBe listOf(entry)
        directory.put(entry.copy(state = ServerState.DRAINING), 500)
        directory.usable(service, NOW) shouldBe emptyList()
    }

    data class LeavingCase(val what: String, val leave: (ServerDirectory) -> Unit, val lastAt: Long)

    listOf(
        LeavingCase("that drains", { it.put(entry.copy(state = ServerState.DRAINING), 500) }, 1_999),
        LeavingCase("whose entry is missing after an outage", { directory ->
            directory.remove(name, 500, afterOutage = true)
        }, 1_999),
        LeavingCase("of an evacuated domain", { it.setEvacuated(domain, active = true, 500) }, 2_299),
        LeavingCase("whose domain's evacuation is reported again", { directory ->
            listOf(500L, 1_500L).forEach { directory.setEvacuated(domain, active = true, it) }
        }, 2_299),
    ).forEach { case ->
        test("an owner ${case.what} serves its keys for a bounded time, even if they get no new owner") {
            val directory = ServerDirectory()
            directory.put(entry, 0)
            directory.isLeaving(name) shouldBe false
            case.leave(directory)
            directory.isLeaving(name) shouldBe true
            directory.mayStillServe(name, case.lastAt) shouldBe true
            directory.mayStillServe(name, case.lastAt + 1) shouldBe false
        }
    }

    test("an owner whose domain is no longer evacuated serves its keys again") {
        val directory = ServerDirectory()
        directory.put(entry, 0)
        directory.setEvacuated(domain, active = true, 500)
        directory.setEvacuated(domain, active = false, 5_000)
        directory.mayStillServe(name, 5_000) shouldBe true
    }
})

/** A time at which no entry expires. */
private const val NOW = 600L
