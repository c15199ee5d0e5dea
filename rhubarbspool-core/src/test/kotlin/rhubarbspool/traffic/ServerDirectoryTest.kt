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
