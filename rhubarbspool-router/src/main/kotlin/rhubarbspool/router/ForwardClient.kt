/*
 * Forwards a request to the router of the instance that holds the gate, and relays the answer with the caller's
 * backpressure.
 */
package rhubarbspool.router

import com.google.protobuf.ByteString
import io.grpc.CallOptions
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientCalls
import io.grpc.stub.ClientResponseObserver
import rhubarbspool.edge.Channels
import rhubarbspool.edge.ProcessClock
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.Address
import rhubarbspool.protocol.ForwardChunk
import rhubarbspool.protocol.ForwardRequest
import rhubarbspool.protocol.GateGrpc
import rhubarbspool.protocol.HeaderField
import rhubarbspool.routing.KeyLocation
import java.util.concurrent.TimeUnit

/** Told whether a peer router could be reached. */
internal fun interface ReachabilityListener {
    fun onResult(reachable: Boolean)
}

/** Forwards requests to other routers. */
internal class ForwardClient(private val channels: Channels) {
    /** Forwards [request] to [router]; the answer goes to [sink]. */
    fun send(
        request: IncomingRequest,
        location: KeyLocation,
        router: Address,
        sink: AnswerSink,
        listener: ReachabilityListener,
    ): Cancellable {
        val tracer = SentTracer()
        val remaining = maxOf(1, request.deadlineAt - ProcessClock.monotonic())
        val options = CallOptions.DEFAULT
            .withDeadlineAfter(remaining + GRACE_MILLISECONDS, TimeUnit.MILLISECONDS)
            .withStreamTracerFactory(tracer)
        val call = channels.channel(router).newCall(GateGrpc.getForwardMethod(), options)
        val observer = ResponseObserver(router, sink, tracer, listener)
        ClientCalls.asyncServerStreamingCall(call, message(request, location, remaining), observer)
        return Cancellable { call.cancel("the caller has gone", null) }
    }

    private fun message(request: IncomingRequest, location: KeyLocation, remaining: Long): ForwardRequest =
        ForwardRequest.newBuilder()
            .setService(request.configuration.service.text)
            .setRoute(request.route.name)
            .setKey(request.key)
            .setServer(location.server.text)
            .setMethod(request.route.method)
            .setTarget(request.target)
            .addAllHeaders(request.headers.map { HeaderField.newBuilder().setName(it.name).setValue(it.value).build() })
            .setBody(ByteString.copyFrom(request.body))
            .setCaller(request.caller)
            .setRequestId(request.requestId.orEmpty())
            .setRemainingMilliseconds(remaining)
            .setFirstAttempt(request.attempt.isFirst)
            .build()

    /** Records whether any byte of the request left this process: if none did, the request certainly did not run. */
    private class SentTracer : ClientStreamTracer.Factory() {
        var sent = false
            private set

        override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
            object : ClientStreamTracer() {
                override fun outboundHeaders() {
                    sent = true
                }
            }
    }

    private inner class ResponseObserver(
        private val router: Address,
        private val sink: AnswerSink,
        private val tracer: SentTracer,
        private val listener: ReachabilityListener,
    ) : ClientResponseObserver<ForwardRequest, ForwardChunk> {
        private lateinit var stream: ClientCallStreamObserver<ForwardRequest>
        private val startedAt = ProcessClock.monotonic()
        private var hasStarted = false
        private var finished = false

        override fun beforeStart(stream: ClientCallStreamObserver<ForwardRequest>) {
            this.stream = stream
            stream.disableAutoRequestWithInitial(1)
            sink.onWritable { if (!finished) stream.request(1) }
        }

        override fun onNext(chunk: ForwardChunk) {
            if (!hasStarted) {
                hasStarted = true
                channels.recordResponse(router)
                listener.onResult(true)
            }
            when (chunk.partCase) {
                ForwardChunk.PartCase.HEAD -> sink.head(
                    AnswerHead(
                        chunk.head.status,
                        chunk.head.headersList.map { Header(it.name, it.value) },
                        chunk.head.server
                    ),
                )

                ForwardChunk.PartCase.BODY -> sink.body(chunk.body.toByteArray())
                ForwardChunk.PartCase.COMPLETE -> finish { sink.complete() }
                ForwardChunk.PartCase.REFUSAL -> finish { sink.refuse(errorOf(chunk)) }
                else -> Unit
            }
            if (sink.isWritable && !finished) stream.request(1)
        }

        override fun onError(failure: Throwable) {
            if (!hasStarted) channels.recordTimeout(router, startedAt)
            if (finished) return
            if (!hasStarted) listener.onResult(false)
            finish { if (hasStarted) sink.abort() else sink.refuse(unreachable()) }
        }

        override fun onCompleted() = finish { sink.abort() }

        private fun finish(action: () -> Unit) {
            if (finished) return
            finished = true
            action()
        }

        private fun unreachable(): RequestError {
            val kind = if (tracer.sent) ErrorKind.GATE_LOST else ErrorKind.GATE_UNREACHABLE
            return RequestError(kind, "$router", RETRY_MILLISECONDS)
        }
    }

    private fun errorOf(chunk: ForwardChunk): RequestError {
        val refusal = chunk.refusal
        val kind = ErrorKind.entries.firstOrNull { it.name == refusal.errorKind } ?: ErrorKind.INTERNAL
        return RequestError(kind, refusal.detail, refusal.retryAfterMilliseconds.takeIf { it >= 0 }, refusal.certain)
    }

    private companion object {
        const val GRACE_MILLISECONDS = 100L
        const val RETRY_MILLISECONDS = 1_000L
    }
}
