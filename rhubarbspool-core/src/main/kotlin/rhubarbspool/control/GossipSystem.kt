/*
 * Replicates confirmed rows between instances: new rows are pushed at once to a few random peers, which forward them,
 * and a periodic comparison of digests with a random peer repairs what was missed. The table itself is scanned
 * periodically, and at once when this instance must have all rows up to a version.
 */
package rhubarbspool.control

import rhubarbspool.model.Now

/** Keeps the row replicas of the instances consistent. */
internal class GossipSystem : ControlSystem {
    private var lastExchangeAt = Long.MIN_VALUE / 2
    private var lastScanAt = Long.MIN_VALUE / 2
    private var scanIntervalMilliseconds = MINIMUM_SCAN_MILLISECONDS

    override fun run(state: ControlState, now: Now): List<ControlEffect> =
        push(state) + exchange(state, now) + scan(state, now)

    private fun peers(state: ControlState) =
        state.activeMembers().map { it.member.instance }.filter { it != state.identity.instance }

    private fun push(state: ControlState): List<ControlEffect> {
        if (state.rowsToPush.isEmpty()) return emptyList()
        val rows = state.rowsToPush.toList()
        state.rowsToPush.clear()
        return peers(state).shuffled(state.random).take(FANOUT).map { ControlEffect.PushRows(it, rows) }
    }

    private fun exchange(state: ControlState, now: Now): List<ControlEffect> {
        if (now.monotonic - lastExchangeAt < EXCHANGE_INTERVAL_MILLISECONDS) return emptyList()
        lastExchangeAt = now.monotonic
        val peer = peers(state).randomOrNull(state.random)
        return listOfNotNull(peer?.let { ControlEffect.ExchangeDigest(it, state.rows.digest.values) })
    }

    private fun scan(state: ControlState, now: Now): List<ControlEffect> {
        val age = now.monotonic - lastScanAt
        val isBehind = neededRevision(state) > state.completeRevision
        if (age < scanIntervalMilliseconds && !(isBehind && age >= CATCH_UP_SCAN_MILLISECONDS)) return emptyList()
        lastScanAt = now.monotonic
        scanIntervalMilliseconds = randomScanInterval(state)
        return listOf(ControlEffect.Scan(state.completeRevision))
    }

    /** Random interval that grows with the membership, so that the table serves about ten scans a second in all. */
    private fun randomScanInterval(state: ControlState): Long {
        val mean = (state.activeMembers().size * SCAN_MILLISECONDS_PER_MEMBER)
            .coerceIn(MINIMUM_SCAN_MILLISECONDS, MAXIMUM_SCAN_MILLISECONDS)
        return mean / 2 + state.random.nextLong(mean)
    }

    /** The version up to which this instance needs all rows to serve its gates and their shards. */
    private fun neededRevision(state: ControlState): Long {
        val gates = state.ownGates()
        val shards = gates.flatMap { state.rows.shardsOf(it.gate.server) }.maxOfOrNull { it.version } ?: 0
        return maxOf(state.leaseReacquiredVersion, gates.maxOfOrNull { it.version } ?: 0, shards)
    }

    private companion object {
        const val FANOUT = 3
        const val EXCHANGE_INTERVAL_MILLISECONDS = 1_000L
        const val SCAN_MILLISECONDS_PER_MEMBER = 100L
        const val MINIMUM_SCAN_MILLISECONDS = 500L
        const val MAXIMUM_SCAN_MILLISECONDS = 5_000L
        const val CATCH_UP_SCAN_MILLISECONDS = 20L
    }
}
