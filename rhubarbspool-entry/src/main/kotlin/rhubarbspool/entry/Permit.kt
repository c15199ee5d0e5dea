/*
 * The permit to send one request to one server. It is returned to its pool once, with the result of the call.
 */
package rhubarbspool.entry

import rhubarbspool.dispatch.CallOutcome
import rhubarbspool.model.InstanceName

/** The permit that was granted to [ask]. */
internal class Permit(private val context: RequestContext, private val ask: PendingSlotRequest) {
    /** Whether the permit has been returned. */
    var isCompleted = false
        private set

    /** The instance that issued the permit. */
    val holder: InstanceName get() = ask.dispatcher

    /**
     * Returns the permit: the call ended with [outcome] after [durationMilliseconds]; [load] and [limit] are what the
     * server reported, if anything.
     */
    fun complete(
        outcome: CallOutcome,
        durationMilliseconds: Long,
        load: ServerLoad? = null,
        limit: Double? = null,
    ) {
        if (isCompleted) return
        isCompleted = true
        context.process.metrics.recordCall(outcome.name)
        val done = DoneMessage(
            ask.id,
            ask.pool,
            outcome,
            durationMilliseconds,
            load?.running ?: -1,
            load?.waiting ?: 0,
            load?.percent ?: 0,
            limit ?: NO_LIMIT,
        )
        ask.done(done, context.process.clock())
    }
}
