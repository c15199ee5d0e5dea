/*
 * Publishes in rows what the gates of this instance observed of their backend servers: unreachable servers, and request
 * fingerprints that were in flight when a server crashed.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.GateEntry
import rhubarbspool.table.QuarantineBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.ServerBody
import rhubarbspool.table.Write
import rhubarbspool.table.body

/** Writes the reachability of servers and the fingerprints of requests that crash them. */
internal object ServerStatusSystem : ControlSystem {
    /** How long a server must be unreachable before its shards move. */
    const val UNREACHABLE_MILLISECONDS: Long = 200

    /** How long a fingerprint stays quarantined after the last crash while it was in flight. */
    const val QUARANTINE_MILLISECONDS: Long = 600_000

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        if (state.phase != Phase.JOINED) return emptyList()
        return state.ownGates().flatMap { reachabilityWrites(state, it, now) } + quarantineWrites(state, now)
    }

    private fun reachabilityWrites(state: ControlState, gate: GateEntry, now: Now): List<ControlEffect> {
        val server = gate.gate.server
        val key = RowKeys.server(server)
        val reachable = state.reachable[server]
        val recorded = state.rows.body<ServerBody>(key)?.reachable ?: true
        val unreachableSince = state.unreachableSince[server] ?: now.monotonic
        val isConfirmed = reachable == true || now.monotonic - unreachableSince >= UNREACHABLE_MILLISECONDS
        if (reachable == null || recorded == reachable || !isConfirmed) return emptyList()
        val audited = AuditedChange(
            "server",
            server.text,
            "reachable=$recorded",
            "reachable=$reachable",
            "seen by its gate"
        )
        val change = Change(
            "server/$server",
            listOf(Condition(key, state.rows.version(key)), GateRanking.unchangedCondition(gate)),
            listOf(Write(key, ServerBody(server, gate.gate.service, reachable))),
            state.audit(audited, now),
        )
        return state.submit(change, now)
    }

    private fun quarantineWrites(state: ControlState, now: Now): List<ControlEffect> {
        val open = state.crashes.toList()
        return open.flatMap { notice ->
            val key = RowKeys.quarantine(notice.service, notice.fingerprint)
            val previous = state.rows.body<QuarantineBody>(key)?.takeIf { it.expiresAtMilliseconds > now.wall }
            val crashes = (previous?.crashes ?: 0) + 1
            val body =
                QuarantineBody(notice.service, notice.fingerprint, crashes, now.wall + QUARANTINE_MILLISECONDS)
            val audited = AuditedChange(
                "crash",
                key,
                "crashes=${crashes - 1}",
                "crashes=$crashes",
                "in flight at a crash"
            )
            val change = Change(
                key,
                listOf(Condition(key, state.rows.version(key))),
                listOf(Write(key, body)),
                state.audit(audited, now),
            )
            state.submit(change, now) { result, _ ->
                if (result is CommitResult.Committed) state.crashes.remove(notice)
            }
        }
    }
}
