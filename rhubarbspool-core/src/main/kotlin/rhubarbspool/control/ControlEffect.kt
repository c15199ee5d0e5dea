/*
 * Effects that the decision logic requests. Effects are data: the daemon executes them over the network, the fuzz tests
 * over a simulated one.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.InstanceName
import rhubarbspool.table.Successor
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow

/** An action that the decision logic requests from its caller. */
sealed interface ControlEffect {
    /** Request a promise from [successor]; when given, pass this effect to [ControlNode.onPromise]. */
    data class RequestPromise(
        val successor: Successor,
        val scope: LeaseScope,
        val generation: Long,
        val unrecordedRuns: Boolean,
        val sentAt: Long,
    ) : ControlEffect

    /** Commit [transaction]; pass the result to [ControlNode.onCommit] with the same [purpose]. */
    data class Commit(val purpose: String, val transaction: Transaction) : ControlEffect

    /** Read all shared rows with versions after [after]; pass them to [ControlNode.onScan]. */
    data class Scan(val after: Long) : ControlEffect

    /** Send [rows] to [peer]. */
    data class PushRows(val peer: InstanceName, val rows: List<VersionedRow>) : ControlEffect

    /** Compare [digest] with that of [peer] and fetch the rows of which it has newer versions. */
    data class ExchangeDigest(val peer: InstanceName, val digest: List<Long>) : ControlEffect

    /** Fetch the object [hash] from the object store, or from one of [peers] if the store fails. */
    data class FetchObject(val hash: String, val peers: List<InstanceName>) : ControlEffect
}
