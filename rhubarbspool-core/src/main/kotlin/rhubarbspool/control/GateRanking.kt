/*
 * Ranks instances as holders of the gate of a backend server.
 */
package rhubarbspool.control

import rhubarbspool.configuration.BackendServer
import rhubarbspool.placement.Rendezvous
import rhubarbspool.table.Condition
import rhubarbspool.table.GateBody
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Write

/** Ranks instances, and builds the conditions and writes for a claim. */
internal object GateRanking {
    /** Instances that may receive gates. */
    fun candidates(state: ControlState): List<MemberEntry> =
        state.activeMembers().filterNot { state.isDraining(it) }

    /** Number of gates that each instance holds. */
    fun heldCounts(state: ControlState): Map<String, Int> =
        state.rows.gates.values.mapNotNull { it.gate.holder?.text }.groupingBy { it }.eachCount()

    /** Sorts [members] from best to worst holder for [server]: fewest gates first, then by rendezvous hashing. */
    fun ranked(state: ControlState, server: BackendServer, members: List<MemberEntry>): List<MemberEntry> {
        val held = heldCounts(state)
        return Rendezvous.order(server.name.text, members) { it.member.instance.text }
            .sortedBy { held[it.member.instance.text] ?: 0 }
    }

    /** The condition that the gate row of [entry] has not changed. */
    fun unchangedCondition(entry: GateEntry): Condition = Condition(RowKeys.gate(entry.gate.server), entry.version)

    /** The write that makes this instance the holder of the gate of [entry]. */
    fun claimWrite(state: ControlState, entry: GateEntry, suspectUntil: Long): Write =
        Write(RowKeys.gate(entry.gate.server), claimedBody(state, entry.gate, suspectUntil))

    private fun claimedBody(state: ControlState, gate: GateBody, suspectUntil: Long): GateBody = gate.copy(
        holder = state.identity.instance,
        generation = state.generation,
        epoch = gate.epoch + 1,
        suspectUntilMilliseconds = maxOf(gate.suspectUntilMilliseconds, suspectUntil),
    )
}
