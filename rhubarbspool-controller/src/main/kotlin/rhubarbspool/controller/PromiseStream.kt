/*
 * Questions for promises to one successor over one stream, which costs far less than a call for each.
 */
package rhubarbspool.controller

import io.grpc.stub.StreamObserver
import rhubarbspool.control.ControlEffect
import rhubarbspool.edge.ProcessClock
import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.Address
import rhubarbspool.protocol.PeerGrpc
import rhubarbspool.protocol.PromiseReply
import rhubarbspool.protocol.PromiseRequest

/** A stream to the successor at [address]; [closed] hears when it can't be used any more. */
internal class PromiseStream(val address: Address, stub: PeerGrpc.PeerStub, private val closed: () -> Unit) {
    private class Open(val ask: ControlEffect.RequestPromise, val answered: () -> Unit)

    private val open = ArrayDeque<Open>()
    private val requests: StreamObserver<PromiseRequest> = stub.promises(Replies())
    private var answeredAt = ProcessClock.monotonic()

    /** Whether questions are open and nothing was answered for a while, though the connection stands. */
    val isSilent: Boolean
        get() = open.isNotEmpty() && ProcessClock.monotonic() - answeredAt > SILENCE_MILLISECONDS

    /** Sends [request] for [ask]; [answered] hears when the promise is given. */
    fun ask(ask: ControlEffect.RequestPromise, request: PromiseRequest, answered: () -> Unit) {
        if (open.isEmpty()) answeredAt = ProcessClock.monotonic()
        open += Open(ask, answered)
        while (open.size > MAXIMUM_OPEN) open.removeFirst()
        requests.onNext(request)
    }

    private inner class Replies : StreamObserver<PromiseReply> {
        override fun onNext(reply: PromiseReply) {
            answeredAt = ProcessClock.monotonic()
            val scope = if (reply.remote) LeaseScope.REMOTE else LeaseScope.LOCAL
            val asked = open.firstOrNull { it.ask.sentAt == reply.sentAt && it.ask.scope == scope } ?: return
            open -= asked
            if (reply.promised) asked.answered()
        }

        override fun onError(failure: Throwable) = closed()

        override fun onCompleted() = closed()
    }

    private companion object {
        const val SILENCE_MILLISECONDS = 1_000L
        const val MAXIMUM_OPEN = 32
    }
}
