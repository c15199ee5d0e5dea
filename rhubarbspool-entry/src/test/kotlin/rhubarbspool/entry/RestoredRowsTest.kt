/*
 * Rows of a table that was restored from a copy: what was written since is missing or older there until it is written
 * again, and versions start again below those of before.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import rhubarbspool.model.ServiceName
import rhubarbspool.ownership.OwnershipDocument

class RestoredRowsTest : FunSpec({
    val before = FeedPage(90, listOf(TableRow("a", 80, "new"), TableRow("b", 90, "lost")), complete = true)

    fun restored(number: Long, vararg rows: TableRow, complete: Boolean = true) =
        FeedPage(TableVersion.of(1, number), rows.map { it.copy(version = TableVersion.of(1, it.version)) }, complete)

    fun FeedRows.values() =
        requireNotNull(changesAfter(0, 10_000)).rows.filter { it.value != null }.map { it.key to it.value }

    test("rows with lower numbers count as new, and as read from the copy") {
        val rows = FeedRows().also { it.merge(before, 0) }
        val new = rows.merge(restored(40, TableRow("a", 30, "old"), TableRow("b", 40, "lost")), 100)
        new.map { Triple(it.key, it.value, it.fromCopy) }
            .shouldContainExactly(Triple("a", "old", true), Triple("b", "lost", true))
        rows.merge(restored(41, TableRow("a", 41, "new"), complete = false), 200).single().fromCopy shouldBe false
    }

    test("pages of before are ignored, and changes too until all rows were read") {
        val rows = FeedRows().also { it.merge(before, 0) }
        rows.merge(restored(41, TableRow("a", 41, "newer"), complete = false), 100) shouldBe emptyList()
        rows.merge(restored(42, TableRow("a", 41, "newer")), 200)
        rows.merge(FeedPage(95, listOf(TableRow("c", 95, "late")), complete = true), 300) shouldBe emptyList()
    }

    data class LostCase(val description: String, val keepsLostRows: Boolean, val lastKnownAt: Long)

    listOf(
        LostCase("instances and the operator write again is kept for five seconds", true, 5_099),
        LostCase("a server wrote is passed on as missing at once", false, 99),
    ).forEach { case ->
        test("a lost row that ${case.description}") {
            val rows = FeedRows(case.keepsLostRows).also { it.merge(before, 0) }
            listOf(100L, 2_000L, case.lastKnownAt, case.lastKnownAt + 1).filter { it >= 100 }.sorted().forEach { now ->
                rows.merge(restored(40, TableRow("a", 30, "old")), now)
                rows.values().any { it.first == "b" } shouldBe (now <= case.lastKnownAt)
            }
        }
    }

    test("a row that was not written again yet is known, but not as stored") {
        val rows = FeedRows(keepsLostRows = true).also { it.merge(before, 0) }
        rows.merge(restored(40, TableRow("a", 30, "old")), 100)
        listOf("a", "b", "c").map(rows::isStored) shouldBe listOf(true, false, false)
        rows.merge(restored(41, TableRow("b", 41, "again"), complete = false), 200)
        rows.isStored("b") shouldBe true
    }

    test("a subscriber that knows rows of before gets all rows") {
        val rows = FeedRows().also { it.merge(before, 0) }
        rows.merge(restored(40, TableRow("a", 30, "old")), 100)
        val subscriber = FeedRows().also { it.merge(before, 0) }
        subscriber.merge(requireNotNull(rows.changesAfter(subscriber.newestVersion, 200)), 200)
        subscriber.values().shouldContainExactlyInAnyOrder("a" to "old")
    }

    data class OwnersCase(
        val description: String,
        val known: OwnershipDocument?,
        val stored: OwnershipDocument,
        val revision: Long,
        val isConfirmed: Boolean,
    )

    fun document(revision: Long, epoch: Long = 0) = OwnershipDocument.empty(4).copy(revision = revision, epoch = epoch)

    listOf(
        OwnersCase("an earlier document is ignored", document(7), document(5), 7, true),
        OwnersCase("the same document is known to be the last one", document(7), document(7), 7, true),
        OwnersCase("a document that was written since counts", document(7), document(8, epoch = 1), 8, true),
        OwnersCase("the only document that is known may not be the last one", null, document(5), 5, false),
    ).forEach { case ->
        test("of owners in a restored table, ${case.description}") {
            val service = ServiceName("x")
            val shared = SharedRows(DecisionLog { 0 })
            case.known?.let { shared.ownership[service] = VersionedOwnership(90, it) }
            shared.merge(FeedItem.Shared(SharedRows.ownersKey(service), TableVersion.of(1, 30), case.stored.encode()))
            val result = shared.ownership.getValue(service)
            result.version shouldBe TableVersion.of(1, 30)
            result.document.revision shouldBe case.revision
            result.isConfirmed shouldBe case.isConfirmed
            val fences = result.successor.fences.min()
            (fences > 1_000) shouldBe !case.isConfirmed
        }
    }
})
