/*
 * The leave to send one request to one server; given back once with how the call ended.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.model.InstanceName

/** The permit that [ask] brought. */
internal class Permit(private val context: RequestContext, private val ask: OpenAsk) {
    /** Whether it was given back. */
    var isCompleted = false
        private set

    /** The instance that gave it. */
    val holder: InstanceName get() = ask.holder

    /** Gives it back: the call ended with [outcome] after [durationMilliseconds], and the server told its [load]. */
    fun complete(outcome: CallOutcome, durationMilliseconds: Long, load: ServerLoad?) {
        if (isCompleted) return
        isCompleted = true
        context.process.metrics.called(outcome.name)
        val done = DoneMessage(
            ask.id,
            ask.pool,
            outcome,
            durationMilliseconds,
            load?.running ?: -1,
            load?.waiting ?: 0,
            load?.percent ?: 0,
        )
        ask.done(done, context.process.clock())
    }
}
