/*
 * Ranges cover every key exactly once, fencing tokens increase, and the JSON form round-trips.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

class OwnershipDocumentTest : FunSpec({
    test("every key is in the range between its first and its last key") {
        checkAll(Arb.int(0 until OwnershipDocument.KEYS), Arb.int(1..OwnershipDocument.RANGES)) { key, ranges ->
            val range = OwnershipDocument.rangeOf(key, ranges)
            val keys = OwnershipDocument.firstKey(range, ranges)..OwnershipDocument.lastKey(range, ranges)
            (key in keys) shouldBe true
        }
    }

    test("a reassigned range gets the next even fencing token, and others keep theirs") {
        val owner = Owner(ServerName("s"), 1, Address("10.0.0.1", 1))
        val document = OwnershipDocument.empty(3).with(mapOf(1 to owner)).with(mapOf(1 to owner.copy(bornWall = 2)))
        document.fences shouldBe listOf(0L, 4L, 0L)
        document.owners shouldBe listOf(owner.copy(bornWall = 2))
    }

    test("a document survives encoding and decoding") {
        val owner = Owner(ServerName("s"), 1, Address("10.0.0.1", 1))
        val document = OwnershipDocument.empty(3).with(mapOf(2 to owner)).copy(coordinator = "a")
        OwnershipDocument.decode(document.encode()) shouldBe document
    }
})
