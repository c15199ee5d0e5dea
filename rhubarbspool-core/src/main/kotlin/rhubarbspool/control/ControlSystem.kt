/*
 * A system of the control side: looks at the tables of entities each tick and asks for effects.
 */
package rhubarbspool.control

import rhubarbspool.model.Now
import rhubarbspool.table.AuditBody
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write

/** One concern of the control side. */
internal fun interface ControlSystem {
    /** Looks at [state] at [now]; returns what the edge has to do. */
    fun run(state: ControlState, now: Now): List<ControlEffect>
}

/** A change to be written, with its line for the audit trail. */
internal data class Change(
    val purpose: String,
    val conditions: List<Condition>,
    val writes: List<Write>,
    val audit: AuditBody? = null,
)

/** Sends [change] unless one of the same purpose is open; [onResolved] gets its final result. */
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

/** What happened to [subject], for the audit trail. */
internal data class AuditedChange(
    val action: String,
    val subject: String,
    val before: String,
    val after: String,
    val cause: String,
)

/** A line of the audit trail about what this instance did at [now]. */
internal fun ControlState.audit(change: AuditedChange, now: Now): AuditBody = AuditBody(
    identity.instance.text,
    change.action,
    change.subject,
    change.before,
    change.after,
    change.cause,
    now.wall,
)
