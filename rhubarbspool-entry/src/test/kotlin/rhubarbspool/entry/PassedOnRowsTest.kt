/*
 * Guards against relayed rows being dated by their arrival: an instance that gets a row from another one must use the
 * time at which the row was read from the table, so that both send work to a leaving server for equally long.
 */
package rhubarbspool.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

class PassedOnRowsTest : FunSpec({
    val name = ServerName("s")
    val domain = FailureDomainName("d")
    val decoder = RowDecoder { feed, row, now ->
        val entry = row.value?.let {
            val state = ServerState.valueOf(it)
            BackendEntry(name, 1, ServiceName("x"), Address("10.0.0.1", 1), domain, 2, state, now)
        }
        if (feed == Feed.OPERATOR) FeedItem.Evacuation(domain, row.key == "s") else FeedItem.Server(name, entry)
    }

    fun instance() = EntryState(decoder, DecisionLog { 0 })

    data class LeavingCase(
        val description: String,
        val feed: Feed,
        val value: String?,
        val lastServedAt: Long,
        val outage: Boolean,
    )

    listOf(
        LeavingCase("a server that drains", Feed.SERVERS, "DRAINING", 2_499, outage = false),
        LeavingCase("a removed server", Feed.SERVERS, null, 0, outage = false),
        LeavingCase("a server that may have lapsed", Feed.SERVERS, null, 2_499, outage = true),
        LeavingCase("a server of an evacuated domain", Feed.OPERATOR, null, 2_799, outage = false),
    ).forEach { case ->
        test("${case.description} gets work at a subscriber for as long as at the reader") {
            val ready = FeedPage(1, listOf(TableRow("s", 1, "READY")), complete = true)
            val change = FeedPage(2, listOf(TableRow("s", 2, case.value)), complete = false, afterOutage = case.outage)
            val reader = instance()
            val follower = instance()
            listOf(reader, follower).forEach { it.merge(Feed.SERVERS, ready, 0) }
            reader.merge(case.feed, change, 1_000)
            val relayed = requireNotNull(reader.rows(case.feed).changesAfter(1, 1_800))
            follower.merge(case.feed, relayed, 1_800)
            listOf(1_800L, case.lastServedAt, case.lastServedAt + 1).filter { it >= 1_800 }.forEach { now ->
                val expected = now <= case.lastServedAt
                listOf(reader, follower).map { it.directory.mayStillServe(name, now) } shouldBe List(2) { expected }
            }
        }
    }

    data class MissingCase(val description: String, val known: Long)

    listOf(
        MissingCase("knows the other rows", 3),
        MissingCase("knows older rows", 2),
        MissingCase("knows nothing", 0),
    ).forEach { case ->
        test("an instance that ${case.description} learns of a removal that its reader saw only in a complete read") {
            val rows = listOf("r" to 1L, "s" to 2L, "t" to 3L).map { (key, version) -> TableRow(key, version, "READY") }
            val reader = FeedRows()
            val follower = FeedRows()
            reader.merge(FeedPage(3, rows, complete = true), 0)
            follower.merge(FeedPage(case.known, rows.filter { it.version <= case.known }, complete = true), 0)
            reader.merge(FeedPage(5, rows.filter { it.key != "s" }, complete = true), 1_000)
            val relayed = requireNotNull(reader.changesAfter(follower.newestVersion, 1_500))
            follower.merge(relayed, 1_500)
            val known = requireNotNull(follower.changesAfter(0, 10_000)).rows.filter { it.value != null }
            known.map { it.key }.toSet() shouldBe setOf("r", "t")
        }
    }

    test("the age of a row that is relayed several times counts from its read") {
        val instances = List(3) { instance() }
        instances[0].merge(Feed.SERVERS, FeedPage(1, listOf(TableRow("s", 1, "READY")), complete = true), 1_000)
        listOf(1_300L, 1_700L).forEachIndexed { index, now ->
            val page = requireNotNull(instances[index].rows(Feed.SERVERS).changesAfter(0, now))
            instances[index + 1].merge(Feed.SERVERS, page, now)
        }
        instances[2].rows(Feed.SERVERS).changesAfter(0, 2_000)?.rows?.single()?.age shouldBe 1_000
    }
})
