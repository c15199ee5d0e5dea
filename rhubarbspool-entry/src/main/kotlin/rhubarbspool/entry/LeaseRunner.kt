/*
 * Acquires and renews the coordinator lease in the platform's table.
 */
package rhubarbspool.entry

import rhubarbspool.model.Now
import rhubarbspool.ownership.CoordinatorLease
import rhubarbspool.ownership.LeaseStep

/** Executes the table calls that [CoordinatorLease] decides on. */
internal class LeaseRunner(private val context: ProcessContext, private val table: PlatformTable) {
    private val self = context.settings.run { "$instance/$peers/${context.now().wall}" }
    private val lease = CoordinatorLease(self)
    private var isStopped = false

    /** The holder that was last read and the version of its row. */
    val knownHolder: Pair<String?, Long> get() = lease.knownHolder to lease.expectedVersion

    /** Whether this instance holds the lease at [now]. */
    fun isHeld(now: Now): Boolean = lease.isHeld(now)

    /** Whether another process may have been the coordinator since this one last was. */
    val isInterrupted: Boolean get() = lease.isInterrupted

    /** Whether the table does not confirm the lease at [now]. */
    fun isTableUnavailable(now: Now): Boolean = lease.isTableUnavailable(now)

    /** Reads or writes the lease row if this is due at [now]. */
    fun tick(now: Now) {
        if (isStopped) return
        val step = lease.nextStep(rank(), now)
        lease.onStepStarted(step, now)
        when (step) {
            LeaseStep.READ -> read()
            LeaseStep.WRITE -> write()
            LeaseStep.NOTHING -> Unit
        }
    }

    /** Releases the lease, so that another instance need not wait until it expires; it is not acquired again. */
    fun stop(now: Now) {
        isStopped = true
        if (lease.isHeld(now)) release()
    }

    private fun release() {
        lease.relinquish()
        val write = table.write(KEY, followed = false, lease.expectedVersion, null)
        context.tasks.onResult("lease.release", write) { _, failure ->
            if (failure != null) context.log.event("coordinator.not-released", "cause" to failure.message)
        }
    }

    /** Position of this instance among the candidates, in a fixed order without the holder and those that are lost. */
    private fun rank(): Int {
        val holder = lease.knownHolder?.substringBefore('/')
        val order = context.duties.order(KEY).filterNot { context.reachability.isAvoided(it.instance) }
        val position = order.indexOfFirst { it.instance == context.settings.instance }
        val holderPosition = order.indexOfFirst { it.instance.text == holder }
        return when {
            position < 0 -> order.size
            holderPosition in 0 until position -> position - 1
            else -> position
        }
    }

    private fun read() {
        context.tasks.onResult("lease.read", table.readUnfollowed(KEY)) { found, _ ->
            if (found == null) lease.onReadFailed(context.now()) else onRowRead(found.row, found.version)
        }
    }

    private fun write() {
        val write = table.write(KEY, followed = false, lease.expectedVersion, self)
        context.tasks.onResult("lease.write", write) { result, failure ->
            when {
                failure != null -> lease.onWriteFailed()
                result is WriteResult.Written -> onWritten(result.version)
                result is WriteResult.Conflict -> {
                    lease.onWriteFailed()
                    onRowRead(result.current, result.version)
                }
            }
        }
    }

    private fun onWritten(version: Long) {
        lease.onWritten(version, context.now(), table.epoch)
        if (isStopped) release()
    }

    private fun onRowRead(row: TableRow?, tableVersion: Long) =
        lease.onRowRead(row?.value, row?.version ?: 0, context.now(), table.epoch, tableVersion)

    private companion object {
        const val KEY = "coordinator"
    }
}
