/*
 * Accepts requests that other routers forward to a gate of this process.
 */
package rhubarbspool.router

import com.google.protobuf.ByteString
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.protocol.ForwardChunk
import rhubarbspool.protocol.ForwardHead
import rhubarbspool.protocol.ForwardRefusal
import rhubarbspool.protocol.ForwardRequest
import rhubarbspool.protocol.GateGrpc
import rhubarbspool.protocol.HeaderField
import rhubarbspool.routing.RouteMatch

/** gRPC service through which other routers reach the gates of this one. */
internal class ForwardService(
    private val context: RouterContext,
    private val gates: GateTable
) : GateGrpc.GateImplBase() {
    /** Forwarded requests in flight. */
    var inFlight: Int = 0
        private set

    override fun forward(message: ForwardRequest, observer: StreamObserver<ForwardChunk>) {
        val stream = observer as ServerCallStreamObserver<ForwardChunk>
        val sink = StreamSink(stream)
        inFlight++
        val cancellable = start(message, sink)
        stream.setOnCancelHandler {
            sink.onCancelled()
            cancellable?.cancel()
        }
    }

    private fun start(message: ForwardRequest, sink: AnswerSink): Cancellable? {
        val request = requestOf(message)
        val host = gates[ServerName(message.server)]
        val refusalKind = if (request == null) ErrorKind.NO_CONFIGURATION else ErrorKind.GATE_MOVED
        if (request != null && host != null) return host.submit(request, sink)
        sink.refuse(RequestError(refusalKind, retryAfterMilliseconds = RETRY_MILLISECONDS))
        return null
    }

    private fun requestOf(message: ForwardRequest): IncomingRequest? {
        val configuration = context.view.configuration(ServiceName(message.service))
        val route = configuration?.routes?.firstOrNull { it.name == message.route } ?: return null
        return IncomingRequest(
            RouteMatch(configuration, route, message.key, message.target),
            message.headersList.map { Header(it.name, it.value) },
            message.body.toByteArray(),
            message.caller,
            Attempt(message.requestId.ifEmpty { null }, message.firstAttempt),
            ProcessClock.monotonic() + message.remainingMilliseconds,
        )
    }

    /** Writes an answer to the stream of the forwarding router. */
    private inner class StreamSink(private val stream: ServerCallStreamObserver<ForwardChunk>) : AnswerSink {
        private val writableActions = ArrayList<() -> Unit>()

        var isDone = false
            private set

        init {
            stream.setOnReadyHandler { writableActions.toList().forEach { it() } }
        }

        override val isWritable: Boolean get() = stream.isReady

        override fun onWritable(action: () -> Unit) {
            writableActions += action
        }

        override fun head(head: AnswerHead) {
            val fields = head.headers.map { HeaderField.newBuilder().setName(it.name).setValue(it.value).build() }
            send(
                ForwardChunk.newBuilder().setHead(
                    ForwardHead.newBuilder().setStatus(head.status).addAllHeaders(fields).setServer(head.server)
                )
            )
        }

        override fun body(bytes: ByteArray) = send(ForwardChunk.newBuilder().setBody(ByteString.copyFrom(bytes)))

        override fun complete() {
            send(ForwardChunk.newBuilder().setComplete(true))
            finish { stream.onCompleted() }
        }

        override fun abort() = finish { stream.onError(io.grpc.Status.ABORTED.asRuntimeException()) }

        override fun refuse(error: RequestError) {
            val refusal = ForwardRefusal.newBuilder().setErrorKind(error.kind.name).setDetail(error.detail)
                .setRetryAfterMilliseconds(error.retryAfterMilliseconds ?: -1).setCertain(error.noEarlierAttemptRan)
            send(ForwardChunk.newBuilder().setRefusal(refusal))
            finish { stream.onCompleted() }
        }

        /** The forwarding router cancelled the call. */
        fun onCancelled() = finish { }

        private fun send(chunk: ForwardChunk.Builder) {
            if (!isDone) stream.onNext(chunk.build())
        }

        private fun finish(action: () -> Unit) {
            if (isDone) return
            isDone = true
            inFlight--
            action()
        }
    }

    private companion object {
        const val RETRY_MILLISECONDS = 500L
    }
}
