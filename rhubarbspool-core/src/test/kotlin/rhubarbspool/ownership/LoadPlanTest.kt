/*
 * Moves for load, one test for each load pattern.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import rhubarbspool.model.Address
import rhubarbspool.model.ServerName
import kotlin.random.Random

class LoadPlanTest : FunSpec({
    val owners = (0 until SERVERS).map { Owner(ServerName("s$it"), 1, Address("10.0.0.1", it + 1)) }
    val candidates = owners.map { Candidate(it, 2.0) }

    fun initialDocument(among: List<Candidate> = candidates): OwnershipDocument {
        val empty = OwnershipDocument.empty(RANGES)
        return empty.with(OwnershipPlan.assign((0 until RANGES).toList(), List(RANGES) { null }, among))
    }

    val initialRanges = OwnershipDocument.empty(RANGES)

    /** Load with one request for each range. */
    fun evenLoad() = KeyLoad().also { load ->
        (0 until RANGES).forEach { load.recordRequests(initialRanges.keys(it).first, 1, 0) }
    }

    fun rebalance(start: OwnershipDocument, load: KeyLoad, rounds: Int = 20): OwnershipDocument {
        var document = start
        repeat(rounds) { document = document.with(LoadPlan.moves(document, candidates, load, 16) { true }) }
        return document
    }

    test("neighbouring ranges have different owners") {
        val document = initialDocument()
        (1 until RANGES).count { document.owner(it) == document.owner(it - 1) } shouldBe 0
    }

    test("nothing moves while no server is busy") {
        val load = evenLoad()
        LoadPlan.moves(initialDocument(), candidates, load, 16) { true }.shouldBeEmpty()
    }

    test("a server with a hot key keeps few other ranges") {
        val document = initialDocument()
        val load = evenLoad()
        load.recordRequests(initialRanges.keys(HOT).first, 60, 0)
        val before = document.ownerOf.indices.count { document.owner(it) == document.owner(HOT) }
        val rebalanced = rebalance(document, load)
        val after = rebalanced.ownerOf.indices.count { rebalanced.owner(it) == rebalanced.owner(HOT) }
        after shouldBeLessThan before / 2
    }

    test("ranges leave a server whose named limit is below their load") {
        val document = initialDocument()
        val load = evenLoad()
        val limited = owners[0].server
        load.recordLimit(limited, 0.5)
        val rebalanced = rebalance(document, load)
        val rates = load.ratesOf(rebalanced)
        val left = rebalanced.ownerOf.indices.filter { rebalanced.owner(it)?.server == limited }.sumOf { rates[it] }
        left shouldBeLessThanOrEqual 0.5
    }

    test("a hot key on a slow server moves to a fast one") {
        val document = initialDocument()
        val load = KeyLoad()
        owners.forEach { load.recordAnswers(it.server, 50, if (it == document.owner(HOT)) 20_000 else 10_000) }
        load.recordRequests(initialRanges.keys(HOT).first, 30, 0)
        val target = LoadPlan.moves(document, candidates, load, 16) { true }[HOT]
        (target != null && target != document.owner(HOT)) shouldBe true
    }

    test("a server that has joined gets ranges although no server is busy") {
        val document = initialDocument(candidates.dropLast(1))
        val moves = LoadPlan.moves(document, candidates, KeyLoad(), 16) { true }
        moves.values.toSet() shouldBe setOf(owners.last())
        val rebalanced = rebalance(document, KeyLoad())
        rebalanced.ownerOf.indices.count { rebalanced.owner(it) == owners.last() } shouldBeGreaterThan
            RANGES / SERVERS / 3
    }

    data class HotArea(val description: String, val keys: Int, val requestsPerKey: Int, val largestShare: Double)

    listOf(
        HotArea("200 neighbouring keys", keys = 200, requestsPerKey = 2, largestShare = 0.25),
        HotArea("60 neighbouring keys", keys = 60, requestsPerKey = 6, largestShare = 0.25),
        HotArea("one key, which can't be shared", keys = 1, requestsPerKey = 90, largestShare = 1.0),
    ).forEach { area ->
        test("servers share the load of a hot area: ${area.description}") {
            val load = KeyLoad()
            val first = initialRanges.keys(HOT).first + 10
            (first until first + area.keys).forEach { load.recordRequests(it, area.requestsPerKey, 0) }
            val initial = initialDocument()
            val split = initial.splitAt(LoadPlan.cuts(initial, candidates, load) { true })
            val balanced = rebalance(split, load)
            val rates = load.ratesOf(balanced)
            val rangesByOwner = balanced.ownerOf.indices.groupBy(balanced::owner).values
            rangesByOwner.maxOf { it.sumOf(rates::get) } / rates.sum() shouldBeLessThanOrEqual area.largestShare
        }
    }

    test("ranges are not split for what chance makes of an even load") {
        val random = Random(1)
        val load = KeyLoad()
        repeat(EVEN_REQUESTS) { load.recordRequests(random.nextInt(OwnershipDocument.KEYS), 1, 0) }
        LoadPlan.cuts(initialDocument(), candidates, load) { true }.size shouldBeLessThan 2
    }

    test("ranges that may not be split or moved keep their owners") {
        val load = KeyLoad()
        load.recordRequests(initialRanges.keys(HOT).first, 60, 0)
        LoadPlan.moves(initialDocument(), candidates, load, 16) { false }.shouldBeEmpty()
        LoadPlan.cuts(initialDocument(), candidates, load) { false }.shouldBeEmpty()
        LoadPlan.moves(initialDocument(), candidates, load, 16) { it != HOT }.keys.shouldNotBeEmpty()
    }
})

private const val SERVERS = 6
private const val RANGES = 120
private const val HOT = 37

/** About three for each range within the time that the load covers. */
private const val EVEN_REQUESTS = 360
