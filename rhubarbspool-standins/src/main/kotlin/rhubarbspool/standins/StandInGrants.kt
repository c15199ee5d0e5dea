/*
 * Fenced grants of a backend server stand-in.
 */
package rhubarbspool.standins

import io.netty.handler.codec.http.HttpHeaders
import rhubarbspool.edge.ProcessClock

/** The current grant and the highest epochs seen. */
internal class StandInGrants {
    private val shardEpochs = HashMap<String, Long>()
    private var gateEpoch = 0L
    private var endsAt = 0L

    /** Number of requests refused. */
    var refused = 0L
        private set

    /** Clears grant and epochs, as a restart of the process does. */
    fun clear() {
        shardEpochs.clear()
        gateEpoch = 0
        endsAt = 0
    }

    /** Accepts a grant unless its gate epoch is older than the current one; returns the HTTP status. */
    fun accept(message: GrantMessage): Int {
        if (message.gateEpoch < gateEpoch) return REFUSED
        gateEpoch = message.gateEpoch
        endsAt = ProcessClock.monotonic() + message.remainingMilliseconds
        return ACCEPTED
    }

    /** Whether a request with [headers] is covered by the current grant; counts it as refused if not. */
    fun allow(headers: HttpHeaders): Boolean {
        val epoch = headers["rhubarbspool-gate-epoch"]?.toLongOrNull() ?: 0
        val shard = headers["rhubarbspool-shard"].orEmpty()
        val shardEpoch = headers["rhubarbspool-shard-epoch"]?.toLongOrNull() ?: 0
        val current = epoch >= gateEpoch && ProcessClock.monotonic() < endsAt
        val allowed = current && shardEpoch >= (shardEpochs[shard] ?: 0)
        if (allowed) shardEpochs[shard] = shardEpoch else refused++
        return allowed
    }

    private companion object {
        const val ACCEPTED = 200
        const val REFUSED = 412
    }
}
