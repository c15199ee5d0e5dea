/*
 * Moves for load, one test for each load pattern.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName

class LoadPlanTest : FunSpec({
    val owners = (0 until SERVERS).map { Owner(ServerName("s$it"), 1, Address("10.0.0.1", it + 1)) }
    val candidates = owners.map { Candidate(it, 2.0) }

    fun initialDocument(among: List<Candidate> = candidates): OwnershipDocument {
        val empty = OwnershipDocument.empty(RANGES)
        return empty.with(OwnershipPlan.assign((0 until RANGES).toList(), List(RANGES) { null }, among))
    }

    fun rebalance(start: OwnershipDocument, load: RangeLoad, rounds: Int = 20): OwnershipDocument {
        var document = start
        repeat(rounds) { document = document.with(LoadPlan.moves(document, candidates, load, 16) { true }) }
        return document
    }

    test("neighbouring ranges have different owners") {
        val document = initialDocument()
        (1 until RANGES).count { document.owner(it) == document.owner(it - 1) } shouldBe 0
    }

    test("nothing moves while no server is busy") {
        val load = RangeLoad(RANGES)
        (0 until RANGES).forEach { load.recordRequests(it, 1, 0) }
        LoadPlan.moves(initialDocument(), candidates, load, 16) { true }.shouldBeEmpty()
    }

    test("a server with a hot key keeps few other ranges") {
        val document = initialDocument()
        val load = RangeLoad(RANGES)
        (0 until RANGES).forEach { load.recordRequests(it, 1, 0) }
        load.recordRequests(HOT, 60, 0)
        val before = document.ownerOf.indices.count { document.owner(it) == document.owner(HOT) }
        val rebalanced = rebalance(document, load)
        val after = rebalanced.ownerOf.indices.count { rebalanced.owner(it) == rebalanced.owner(HOT) }
        after shouldBeLessThan before / 2
    }

    test("a hot key on a slow server moves to a fast one") {
        val document = initialDocument()
        val load = RangeLoad(RANGES)
        owners.forEach { load.recordAnswers(it.server, 50, if (it == document.owner(HOT)) 20_000 else 10_000) }
        load.recordRequests(HOT, 30, 0)
        val target = LoadPlan.moves(document, candidates, load, 16) { true }[HOT]
        (target != null && target != document.owner(HOT)) shouldBe true
    }

    test("a server that has joined gets ranges although no server is busy") {
        val document = initialDocument(candidates.dropLast(1))
        val moves = LoadPlan.moves(document, candidates, RangeLoad(RANGES), 16) { true }
        moves.values.toSet() shouldBe setOf(owners.last())
        val rebalanced = rebalance(document, RangeLoad(RANGES))
        rebalanced.ownerOf.indices.count { rebalanced.owner(it) == owners.last() } shouldBeGreaterThan
            RANGES / SERVERS / 3
    }

    test("ranges that may not move keep their owners") {
        val load = RangeLoad(RANGES)
        load.recordRequests(HOT, 60, 0)
        LoadPlan.moves(initialDocument(), candidates, load, 16) { false }.shouldBeEmpty()
        LoadPlan.moves(initialDocument(), candidates, load, 16) { it != HOT }.keys.shouldNotBeEmpty()
    }
})

private const val SERVERS = 6
private const val RANGES = 120
private const val HOT = 37
