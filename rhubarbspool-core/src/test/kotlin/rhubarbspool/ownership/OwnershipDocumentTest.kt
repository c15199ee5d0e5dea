/*
 * Ranges cover every key exactly once, fencing tokens increase, and the JSON form round-trips.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

class OwnershipDocumentTest : FunSpec({
    test("every key is in the range between its first and its last key") {
        checkAll(Arb.int(0 until OwnershipDocument.KEYS), Arb.int(1..OwnershipDocument.RANGES)) { key, ranges ->
            val document = OwnershipDocument.empty(ranges)
            val keys = document.keys(document.rangeOf(key))
            (key in keys.first..keys.last) shouldBe true
        }
    }

    test("ranges cover every key once, also after splits") {
        val cutKeys = Arb.list(Arb.int(0 until OwnershipDocument.KEYS), 0..20)
        checkAll(Arb.int(1..OwnershipDocument.RANGES), cutKeys) { ranges, cuts ->
            val document = OwnershipDocument.empty(ranges).splitAt(cuts)
            val all = (0 until document.ranges).map(document::keys)
            all.first().first shouldBe 0
            all.last().last shouldBe OwnershipDocument.KEYS - 1
            all.zipWithNext().all { (a, b) -> a.first <= a.last && a.last + 1 == b.first } shouldBe true
            cuts.all { document.keys(document.rangeOf(it)).first == it } shouldBe true
        }
    }

    test("parts of a split range keep its owner and token until one of them is reassigned") {
        val owner = Owner(ServerName("s"), 1, Address("10.0.0.1", 1))
        val other = owner.copy(server = ServerName("t"))
        val split = OwnershipDocument.empty(2).with(mapOf(0 to owner, 1 to other)).splitAt(listOf(100, 200))
        split.ownerOf.indices.map(split::owner) shouldBe listOf(owner, owner, owner, other)
        split.fences shouldBe listOf(2L, 2L, 2L, 2L)
        val moved = split.with(mapOf(1 to other))
        moved.ownerOf.indices.map(moved::owner) shouldBe listOf(owner, other, owner, other)
        moved.fences shouldBe listOf(2L, 4L, 2L, 2L)
        moved.starts shouldBe listOf(0, 100, 200, 32_768)
        OwnershipDocument.decode(moved.encode()) shouldBe moved
    }

    test("a takeover joins neighbouring ranges of one owner under a token above both, and no others") {
        val owner = Owner(ServerName("s"), 1, Address("10.0.0.1", 1))
        val other = owner.copy(server = ServerName("t"))
        val document = OwnershipDocument.empty(5).with(mapOf(0 to owner, 1 to owner, 2 to other))
            .with(mapOf(1 to owner)).takenOverBy("a")
        document.starts shouldBe listOf(0, 26_215, 39_322, 52_429)
        document.fences shouldBe listOf(6L, 4L, 2L, 2L)
        document.ownerOf.indices.map(document::owner) shouldBe listOf(owner, other, null, null)
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
