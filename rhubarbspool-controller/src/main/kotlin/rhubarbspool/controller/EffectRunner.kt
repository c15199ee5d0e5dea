/*
 * Executes the effects of the decision code and passes the results back to it.
 */
package rhubarbspool.controller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import rhubarbspool.control.ControlEffect
import rhubarbspool.control.ControlNode
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.TableClient
import rhubarbspool.table.CommitResult
import rhubarbspool.table.RowKeys

private val logger = KotlinLogging.logger {}

/** Handles results on [loop]. Calls [requestTick] after a result that may need an immediate tick. */
internal class EffectRunner(
    private val node: ControlNode,
    private val loop: EventLoop,
    private val table: TableClient,
    private val objects: ObjectCache,
    private val peers: PeerClient,
    private val requestTick: () -> Unit,
) {
    /** Starts all [effects]; their results are passed to [node]. */
    fun run(effects: List<ControlEffect>) = effects.forEach(::run)

    private fun run(effect: ControlEffect) {
        when (effect) {
            is ControlEffect.RequestPromise -> peers.requestPromise(effect) { runOnLoop { node.onPromise(effect) } }
            is ControlEffect.Commit -> commit(effect)
            is ControlEffect.Scan -> scan(effect.after)
            is ControlEffect.PushRows -> peers.push(effect.peer, effect.rows)
            is ControlEffect.ExchangeDigest ->
                peers.exchange(effect.peer, effect.digest) { runOnLoop { node.onRows(it) } }
            is ControlEffect.FetchObject -> fetch(effect)
        }
    }

    private fun commit(effect: ControlEffect.Commit) {
        table.commit(effect.transaction).thenAccept { result ->
            runOnLoop {
                node.onCommit(effect.purpose, effect.transaction.writeId, result, ProcessClock.now())
                if (result is CommitResult.Committed) logCommitted(effect)
                requestTick()
            }
        }
    }

    private fun logCommitted(effect: ControlEffect.Commit) = logger.atInfo {
        message = "committed"
        payload = mapOf("purpose" to effect.purpose, "writeId" to effect.transaction.writeId)
    }

    private fun scan(afterRevision: Long) {
        table.scan(RowKeys.SHARED_PREFIXES, afterRevision).whenComplete { result, failure ->
            if (failure == null) {
                runOnLoop {
                    node.onScan(afterRevision, result.rows, result.revision, ProcessClock.now())
                    if (result.more) scan(result.revision) else requestTick()
                }
            }
        }
    }

    private fun fetch(effect: ControlEffect.FetchObject) {
        objects.fetch(effect.hash).thenAccept { text ->
            runOnLoop { if (text != null) applyConfiguration(effect.hash, text) else fetchFromPeers(effect) }
        }
    }

    private fun fetchFromPeers(effect: ControlEffect.FetchObject) = effect.peers.forEach { peer ->
        peers.fetchObject(peer, effect.hash) { text -> runOnLoop { applyConfiguration(effect.hash, text) } }
    }

    private fun applyConfiguration(hash: String, text: String) {
        val service = node.onObject(hash, text) ?: return
        objects.put(text)
        logger.atInfo {
            message = "configuration in force"
            payload = mapOf("service" to service.text, "number" to "${node.state.configurations[service]?.number}")
        }
    }

    private fun runOnLoop(action: () -> Unit) = if (loop.inEventLoop()) action() else loop.execute(action)
}
