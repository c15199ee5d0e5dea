/*
 * Claims gates that nobody holds and gives gates away: when leaving, when drained, and to even them out over
 * the instances of a failure domain. A gate is given away only after the router has stopped using it.
 */
package rhubarbspool.control

import rhubarbspool.configuration.BackendServer
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.placement.Rendezvous
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.GateBody
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Claims and hands over gates. */
internal class GateSystem : ControlSystem {
    private val freeSince = HashMap<ServerName, Long>()
    private var evenedAt: Long = 0

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED && state.phase != Phase.LEAVING) return emptyList()
        state.handovers.keys.removeAll { server -> state.rows.gates[server]?.let { !state.isOwn(it) } ?: true }
        planHandovers(state, now)
        val claims = if (state.phase == Phase.JOINED) claim(state, now) else emptyList()
        return claims + finishHandovers(state, now)
    }

    private fun claim(state: ControlState, now: Now): List<ControlEffect> {
        val me = state.self ?: return emptyList()
        val fit = me.member.generation == state.generation && !state.isDraining(me)
        if (!fit || state.routerLost(now) || state.routerLeaving) return emptyList()
        val free = servers(state).filter { (server, _) -> isFree(state, server.name) }
        freeSince.keys.retainAll(free.map { it.first.name }.toSet())
        val due = free.filter { (server, _) -> isMyTurn(state, server, me, now) }
        if (due.isEmpty()) return emptyList()
        val selfKey = RowKeys.member(me.member.instance)
        val conditions = due.map { (server, _) -> gateCondition(state, server.name) } + Condition(selfKey, me.version)
        val writes = due.map { (server, service) ->
            val entry = state.rows.gates[server.name] ?: GateEntry(0, GateBody(server.name, service, null))
            Write(RowKeys.gate(server.name), claimedBy(state, entry, suspectUntil(state, entry, now)))
        }
        val names = due.joinToString { it.first.name.text }
        val audit = state.audit("claim", names, "free", me.member.instance.text, now, "no holder")
        return state.submit(Change("claim", conditions, writes, audit), now)
    }

    private fun servers(state: ControlState): List<Pair<BackendServer, ServiceName>> =
        state.configurations.values.flatMap { inForce ->
            inForce.configuration.servers.map { it to inForce.configuration.service }
        }

    private fun isFree(state: ControlState, server: ServerName): Boolean {
        val gate = state.rows.gates[server]?.gate ?: return true
        val holder = gate.holder?.let { state.rows.members[it]?.member } ?: return gate.holder == null
        return holder.generation > gate.generation ||
            (holder.generation == gate.generation && holder.state == MemberState.GONE)
    }

    /** A holder that was replaced without a takeover may have run requests that it did not record. */
    private fun suspectUntil(state: ControlState, entry: GateEntry, now: Now): Long {
        val holder = entry.gate.holder?.let { state.rows.members[it]?.member }
        val replaced = holder != null && holder.generation > entry.gate.generation
        val window = state.configurations[entry.gate.service]?.configuration?.repeatWindowMilliseconds ?: 0
        return if (replaced) now.wall + window else 0
    }

    /** A router that was lost took the knowledge of its unrecorded runs with it. */
    private fun suspectAfterLoss(state: ControlState, entry: GateEntry, now: Now): Long {
        val lost = state.unrecordedRuns && state.routerLost(now)
        val window = state.configurations[entry.gate.service]?.configuration?.repeatWindowMilliseconds ?: 0
        return if (lost) now.wall + window else entry.gate.suspectUntilMilliseconds
    }

    /** The candidates of a free gate come in turn, so that two rarely write at once and none blocks the others. */
    private fun isMyTurn(state: ControlState, server: BackendServer, me: MemberEntry, now: Now): Boolean {
        val since = freeSince.getOrPut(server.name) { now.monotonic }
        val near = candidates(state).filter { it.member.domain == server.domain }
        val mayMove = state.configurations.values
            .any { it.configuration.server(server.name) != null && it.configuration.moveAfterMilliseconds != null }
        val ranked = ranked(state, server, near.ifEmpty { if (mayMove) candidates(state) else emptyList() })
        val rank = ranked.indexOfFirst { it.member.instance == me.member.instance }
        return rank >= 0 && now.monotonic - since >= rank * TURN_MILLISECONDS
    }

    private fun candidates(state: ControlState): List<MemberEntry> =
        state.activeMembers().filterNot { state.isDraining(it) }

    private fun ranked(state: ControlState, server: BackendServer, members: List<MemberEntry>): List<MemberEntry> {
        val held = gateCounts(state)
        return Rendezvous.order(server.name.text, members) { it.member.instance.text }
            .sortedBy { held[it.member.instance.text] ?: 0 }
    }

    private fun gateCounts(state: ControlState): Map<String, Int> =
        state.rows.gates.values.mapNotNull { it.gate.holder?.text }.groupingBy { it }.eachCount()

    private fun planHandovers(state: ControlState, now: Now) {
        val me = state.self ?: return
        val own = state.ownGates().filter { it.gate.server !in state.handovers }
        val routerLost = state.routerLost(now)
        val required = state.phase == Phase.LEAVING || routerLost || state.routerLeaving
        val givesAll = required || state.isDraining(me)
        if (givesAll) own.forEach { giveAway(state, it, required) }
        if (routerLost) state.handovers.replaceAll { _, handover -> handover.copy(drained = true) }
        if (givesAll || now.monotonic - evenedAt < EVENING_MILLISECONDS) return
        evenedAt = now.monotonic
        surplus(state, own)?.let { giveAway(state, it, required = false) }
    }

    private fun giveAway(state: ControlState, entry: GateEntry, required: Boolean) {
        val target = bestTarget(state, entry)
        if (target == null && !required) return
        state.handovers[entry.gate.server] = GateHandover(++state.lastOrder, target?.member?.instance)
    }

    private fun bestTarget(state: ControlState, entry: GateEntry): MemberEntry? {
        val server = state.configurations[entry.gate.service]?.configuration?.server(entry.gate.server) ?: return null
        val others = candidates(state)
            .filter { it.member.domain == server.domain && it.member.instance != state.identity.instance }
        return ranked(state, server, others).firstOrNull()
    }

    /** A gate that would be better held elsewhere: in the server's own domain, or by an instance with far fewer. */
    private fun surplus(state: ControlState, own: List<GateEntry>): GateEntry? {
        val counts = gateCounts(state)
        val mine = counts[state.identity.instance.text] ?: 0
        return own.firstOrNull { entry ->
            val target = bestTarget(state, entry) ?: return@firstOrNull false
            val theirs = counts[target.member.instance.text] ?: 0
            target.member.domain != state.identity.domain || mine - theirs > 1
        }
    }

    private fun finishHandovers(state: ControlState, now: Now): List<ControlEffect> =
        state.handovers.filterValues { it.drained }.flatMap { (server, handover) ->
            val entry = state.rows.gates.getValue(server)
            val target = handover.target?.let { state.rows.members[it] }
                ?.takeIf { it.member.state == MemberState.ACTIVE }
            val body = entry.gate.copy(
                holder = target?.member?.instance,
                generation = target?.member?.generation ?: 0,
                epoch = entry.gate.epoch + 1,
                suspectUntilMilliseconds = suspectAfterLoss(state, entry, now),
            )
            val change = Change(
                "handover/$server",
                listOf(gateCondition(state, server)),
                listOf(Write(RowKeys.gate(server), body)),
                state.audit("handover", server.text, "${entry.gate.holder}", "${body.holder}", now, "given away"),
            )
            state.submit(change, now) { result, _ ->
                if (result is CommitResult.Conflict) state.handovers.remove(server)
            }
        }

    private fun gateCondition(state: ControlState, server: ServerName): Condition =
        RowKeys.gate(server).let { Condition(it, state.rows.version(it)) }

    companion object {
        private const val TURN_MILLISECONDS = 300L
        private const val EVENING_MILLISECONDS = 1_000L

        /** [entry]'s next row with this instance as the holder. */
        fun claimedBy(state: ControlState, entry: GateEntry, suspectUntil: Long = 0): GateBody = entry.gate.copy(
            holder = state.identity.instance,
            generation = state.generation,
            epoch = entry.gate.epoch + 1,
            suspectUntilMilliseconds = maxOf(entry.gate.suspectUntilMilliseconds, suspectUntil),
        )
    }
}
