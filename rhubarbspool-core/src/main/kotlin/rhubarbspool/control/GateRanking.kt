/*
 * Who should hold the gate of a backend server.
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

/** Orders instances as holders of gates. */
internal object GateRanking {
    /** Instances that may be given gates. */
    fun candidates(state: ControlState): List<MemberEntry> =
        state.activeMembers().filterNot { state.isDraining(it) }

    /** Gates held by each instance. */
    fun heldCounts(state: ControlState): Map<String, Int> =
        state.rows.gates.values.mapNotNull { it.gate.holder?.text }.groupingBy { it }.eachCount()

    /** [members] from the best to the worst holder for [server]: those with few gates first. */
    fun ranked(state: ControlState, server: BackendServer, members: List<MemberEntry>): List<MemberEntry> {
        val held = heldCounts(state)
        return Rendezvous.order(server.name.text, members) { it.member.instance.text }
            .sortedBy { held[it.member.instance.text] ?: 0 }
    }

    /** The condition that the gate of [entry] did not change. */
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
