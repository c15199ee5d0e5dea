/*
 * The leave to send one request to one server; given back once with how the call ended.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.model.InstanceName

/** The permit that [asked] brought. */
internal class Permit(private val flow: FlowContext, private val asked: PendingSlotRequest) {
    /** Whether it was given back. */
    var isEnded = false
        private set

    /** The instance that gave it. */
    val holder: InstanceName get() = asked.dispatcher

    /** Gives it back: the call ended with [outcome] after [took] milliseconds, and the server told its [load]. */
    fun end(outcome: CallOutcome, took: Long, load: ServerLoad?) {
        if (isEnded) return
        isEnded = true
        flow.process.metrics.recordCall(outcome.name)
        val done = DoneMessage(
            asked.id,
            asked.pool,
            outcome,
            took,
            load?.running ?: -1,
            load?.waiting ?: 0,
            load?.percent ?: 0,
        )
        asked.done(done, flow.process.clock())
    }
}
