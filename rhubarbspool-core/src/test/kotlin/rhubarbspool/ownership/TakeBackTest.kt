/*
 * Bounds how long ranges stay with a server that leaves, with and without a takeover by a new coordinator, and whether
 * its entry says that it drains or has been removed.
 */
package rhubarbspool.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.traffic.BackendEntry
import rhubarbspool.traffic.ServerState

/** Milliseconds until the leaving server owns no range, and the longest wait of a moved range for its first grant. */
private data class MoveTimes(val untilAllMoved: Long, val longestUngranted: Long)

/** Executes the effects of [coordinator] at once; every call ends with [result]. */
private class ImmediateExecutor(private val coordinator: OwnershipCoordinator, private val result: OrderResult) {
    private val movedAt = HashMap<Int, Long>()

    /** Longest time from a move to the first grant so far. */
    var longestUngranted = 0L
        private set

    fun ownsRanges(owner: Owner): Boolean = coordinator.document.let { document ->
        document.ownerOf.indices.any { document.owner(it) == owner }
    }

    fun tick(view: OwnershipView, now: Long) = coordinator.tick(view, CALLS, Now(now, now)).forEach { effect ->
        when (effect) {
            is OwnershipEffect.Write -> onWritten(now)
            is OwnershipEffect.Grant -> {
                val range = coordinator.document.rangeOf(effect.keys.first)
                movedAt.remove(range)?.let { longestUngranted = maxOf(longestUngranted, now - it) }
                coordinator.onGrant(effect, result, now, now)
            }
            is OwnershipEffect.Release -> coordinator.onRelease(effect, result, null)
        }
    }

    private fun onWritten(now: Long) {
        val before = coordinator.document
        coordinator.onWritten(now)
        val after = coordinator.document
        after.ownerOf.indices.filter { before.owner(it) != after.owner(it) }.forEach { movedAt[it] = now }
    }
}

class TakeBackTest : FunSpec({
    val entries = (1..3).map { number ->
        val address = Address("10.0.0.1", number)
        val domain = FailureDomainName("d")
        BackendEntry(ServerName("s$number"), 1, ServiceName("x"), address, domain, 2, ServerState.READY, 0)
    }
    val leaving = entries.first()
    val owners = entries.map(OwnershipPlan::ownerOf)

    /** Moves the leaving server's share of [ranges]; every call ends with [result]. */
    fun move(isTakeover: Boolean, listed: List<BackendEntry>, result: OrderResult, ranges: Int = 64): MoveTimes {
        val document = OwnershipDocument.empty(ranges).with((0 until ranges).associateWith { owners[it % 3] })
        val leavesAt = 100_000L
        var now = if (isTakeover) leavesAt else leavesAt - BEFORE_LEAVING
        val executor = ImmediateExecutor(OwnershipCoordinator(document, now, isNew = !isTakeover), result)
        while (executor.ownsRanges(owners[0]) && now - leavesAt <= TEST_LIMIT) {
            val servers = if (now < leavesAt) entries else listed
            val view = OwnershipView(
                servers,
                servers.associateBy { it.address },
                emptySet(),
                isTableUnavailable = false
            )
            executor.tick(view, now)
            now += STEP
        }
        return MoveTimes(now - leavesAt, executor.longestUngranted)
    }

    test("ranges of a server that drains move before the other ranges are renewed") {
        val listed = listOf(leaving.copy(state = ServerState.DRAINING)) + entries.drop(1)
        val ranges = OwnershipDocument.empty().ranges
        val move = move(isTakeover = false, listed, OrderResult.ACCEPTED, ranges)
        move.untilAllMoved shouldBeLessThan 1_000
        move.longestUngranted shouldBeLessThan 150
    }

    data class MoveCase(
        val description: String,
        val isTakeover: Boolean,
        val entry: BackendEntry?,
        val result: OrderResult,
        val bound: Long,
    )

    val draining = leaving.copy(state = ServerState.DRAINING)
    listOf(
        MoveCase("drains", false, draining, OrderResult.ACCEPTED, 1_000),
        MoveCase("drains after a takeover", true, draining, OrderResult.ACCEPTED, 1_500),
        MoveCase("has no entry", false, null, OrderResult.ACCEPTED, 1_000),
        MoveCase("has no entry after a takeover", true, null, OrderResult.ACCEPTED, 1_500),
        MoveCase(
            "has no entry and does not respond",
            true,
            null,
            OrderResult.UNANSWERED,
            MOVE_BOUND
        ),
        MoveCase("is unreachable", true, null, OrderResult.NOT_SENT, MOVE_BOUND),
    ).forEach { case ->
        test("ranges of a server that ${case.description} move within ${case.bound} ms") {
            val listed = listOfNotNull(case.entry) + entries.drop(1)
            move(case.isTakeover, listed, case.result).untilAllMoved shouldBeLessThan case.bound
        }
    }
})

private const val STEP = 20L

/** Time with all servers present before one leaves. */
private const val BEFORE_LEAVING = 5_000L
private const val CALLS = 20
private const val TEST_LIMIT = 30_000L

/** Bound for a server that does not confirm a release: its hold has to expire. */
private const val MOVE_BOUND = HoldTimes.LONGEST_HOLD + 500
