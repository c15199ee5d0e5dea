/*
 * Promise requests to one successor over a single stream, which costs far less than a separate call for each.
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

/** Stream to the successor at [address]. Calls [onClosed] when the stream has failed or ended. */
internal class PromiseStream(val address: Address, stub: PeerGrpc.PeerStub, private val onClosed: () -> Unit) {
    private class OpenRequest(val effect: ControlEffect.RequestPromise, val onPromise: () -> Unit)

    private val open = ArrayDeque<OpenRequest>()
    private val requests: StreamObserver<PromiseRequest> = stub.promises(ReplyObserver())
    private var lastReplyAt = ProcessClock.monotonic()

    /** Whether requests are open and none got a reply in time, although the connection is still open. */
    val isStalled: Boolean
        get() = open.isNotEmpty() && ProcessClock.monotonic() - lastReplyAt > REPLY_TIMEOUT_MILLISECONDS

    /** Sends [request] for [effect]. Calls [onPromise] if the successor gives the promise. */
    fun send(effect: ControlEffect.RequestPromise, request: PromiseRequest, onPromise: () -> Unit) {
        if (open.isEmpty()) lastReplyAt = ProcessClock.monotonic()
        open += OpenRequest(effect, onPromise)
        while (open.size > MAXIMUM_OPEN) open.removeFirst()
        requests.onNext(request)
    }

    private inner class ReplyObserver : StreamObserver<PromiseReply> {
        override fun onNext(reply: PromiseReply) {
            lastReplyAt = ProcessClock.monotonic()
            val scope = if (reply.remote) LeaseScope.REMOTE else LeaseScope.LOCAL
            val matching =
                open.firstOrNull { it.effect.sentAt == reply.sentAt && it.effect.scope == scope } ?: return
            open -= matching
            if (reply.promised) matching.onPromise()
        }

        override fun onError(failure: Throwable) = onClosed()

        override fun onCompleted() = onClosed()
    }

    private companion object {
        const val REPLY_TIMEOUT_MILLISECONDS = 1_000L
        const val MAXIMUM_OPEN = 32
    }
}
