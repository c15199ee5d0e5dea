/*
 * A system of the controller: it runs on each tick, reads and updates the state and returns effects.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.AuditBody
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write

/** One responsibility of the controller. */
internal fun interface ControlSystem {
    /** Runs on [state] at [now]; returns the effects that the caller must execute. */
    fun run(state: ControlState, now: Now): List<ControlEffect>
}

/** A change to commit, with its entry in the audit trail. */
internal data class Change(
    val purpose: String,
    val conditions: List<Condition>,
    val writes: List<Write>,
    val audit: AuditBody? = null,
)

/** Submits [change] unless one of the same purpose is pending; [onResolved] receives its final result. */
internal fun ControlState.submit(
    change: Change,
    now: Now,
    onResolved: (CommitResult, PendingWrite) -> Unit = { _, _ -> },
): List<ControlEffect> {
    if (change.purpose in pending) return emptyList()
    val writeId = nextWriteId()
    val auditWrite = change.audit?.let { Write(RowKeys.audit(it.atMilliseconds, writeId), it) }
    val transaction = Transaction(writeId, change.conditions.distinct(), change.writes + listOfNotNull(auditWrite))
    pending[change.purpose] = PendingWrite(transaction, now.monotonic, onResolved = onResolved)
    return listOf(ControlEffect.Commit(change.purpose, transaction))
}

/** Description of a change of [subject] for the audit trail. */
internal data class AuditedChange(
    val action: String,
    val subject: String,
    val before: String,
    val after: String,
    val cause: String,
)

/** Creates the audit trail entry for a [change] that this instance makes at [now]. */
internal fun ControlState.audit(change: AuditedChange, now: Now): AuditBody = AuditBody(
    identity.instance.text,
    change.action,
    change.subject,
    change.before,
    change.after,
    change.cause,
    now.wall,
)
