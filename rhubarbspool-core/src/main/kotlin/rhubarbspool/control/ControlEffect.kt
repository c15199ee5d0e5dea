/*
 * What the decision code asks the edge to do. Effects are data: the daemon carries them out over the network,
 * the fuzzer over a bag of messages.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.InstanceName
import rhubarbspool.table.Successor
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow

/** A request of the decision code to the edge. */
sealed interface ControlEffect {
    /** Ask [successor] for a promise; the answer goes to [ControlNode.onPromise] with the same values. */
    data class RequestPromise(
        val successor: Successor,
        val scope: LeaseScope,
        val generation: Long,
        val unrecordedRuns: Boolean,
        val sentAt: Long,
    ) : ControlEffect

    /** Commit [transaction]; the answer goes to [ControlNode.onCommit] with the same [purpose]. */
    data class Commit(val purpose: String, val transaction: Transaction) : ControlEffect

    /** Read all shared rows with versions after [after]; the answer goes to [ControlNode.onScan]. */
    data class Scan(val after: Long) : ControlEffect

    /** Send [rows] to [peer]. */
    data class PushRows(val peer: InstanceName, val rows: List<VersionedRow>) : ControlEffect

    /** Compare digests with [peer] and fetch what it has newer. */
    data class ExchangeDigest(val peer: InstanceName, val digest: List<Long>) : ControlEffect

    /** Fetch the object [hash] from the object store, else from one of [peers]. */
    data class FetchObject(val hash: String, val peers: List<InstanceName>) : ControlEffect
}
