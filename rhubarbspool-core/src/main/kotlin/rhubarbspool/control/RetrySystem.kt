/*
 * Retries transactions whose outcome is not known. A retry has the same write id and the same conditions, so that the
 * transaction can't take effect twice.
 */
package rhubarbspool.control

import rhubarbspool.model.Now

/** Retries pending writes. */
internal object RetrySystem : ControlSystem {
    private const val RETRY_MILLISECONDS = 400L

    override fun run(state: ControlState, now: Now): List<ControlEffect> {
        val due = state.pending.filterValues { now.monotonic - it.sentAt >= RETRY_MILLISECONDS }
        return due.map { (purpose, write) ->
            state.pending[purpose] = write.copy(sentAt = now.monotonic)
            ControlEffect.Commit(purpose, write.transaction)
        }
    }
}
