/*
 * Pipelined requests of one caller connection. One is in flight at a time, so that responses are sent in the order of
 * the requests. Reading from the connection pauses while too many requests wait.
 */
package rhubarbspool.router

import arrow.core.Either
import arrow.core.left
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** A request being received, or the error to answer it with. */
internal class ReceivedRequest(val keepAlive: Boolean, val head: Either<RequestError, AcceptedHead>) {
    val body = ByteArrayOutputStream()
}

/** Runs the requests of the connection of [context] one after the other. */
internal class PipelinedRequests(private val admission: CallerAdmission, private val context: ChannelHandlerContext) {
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var answer: CallerAnswer? = null
    private var cancellable: Cancellable? = null

    /** Whether further requests on the connection are ignored. */
    var isClosing: Boolean = false
        private set

    /** Whether no request waits or is in flight. */
    val isIdle: Boolean get() = answer == null && waiting.isEmpty()

    /** Enqueues a request that was received completely. */
    fun add(request: ReceivedRequest) {
        waiting += request
        if (waiting.size >= MAXIMUM_WAITING) context.channel().config().isAutoRead = false
        if (answer == null) startNext()
    }

    /** Answers with [error] after all earlier requests, then closes the connection. */
    fun failAndClose(error: RequestError) {
        isClosing = true
        add(ReceivedRequest(keepAlive = false, error.left()))
    }

    /** Closes the connection if [condition] holds on its event loop. */
    fun closeIf(condition: () -> Boolean) = context.executor().execute { if (condition()) context.close() }

    /** The caller half-closed the connection; it still gets the answers to its requests. */
    fun onInputShutdown() {
        isClosing = true
        if (isIdle) context.close()
    }

    /** The connection is writable again. */
    fun resumeWriting() {
        answer?.resumeWriting()
    }

    /** The connection is closed: cancels the request in flight. */
    fun onDisconnected() {
        isClosing = true
        cancellable?.cancel()
        answer?.onCallerDisconnected()
    }

    private fun startNext() {
        val request = waiting.removeFirstOrNull() ?: return
        if (waiting.size < MAXIMUM_WAITING) context.channel().config().isAutoRead = true
        val keepAlive = request.keepAlive && !admission.isStopping
        val started = CallerAnswer(context, admission.metrics, keepAlive, request.head.getOrNull()?.match, ::onAnswered)
        answer = started
        request.head.fold(started::refuse) { head ->
            val accepted = admission.start(head.withBody(request.body.toByteArray()), started)
            if (answer === started) cancellable = accepted
        }
    }

    private fun onAnswered(keepAlive: Boolean) {
        answer = null
        cancellable = null
        if (keepAlive && !(isClosing && waiting.isEmpty())) {
            context.executor().execute { if (answer == null) startNext() }
        } else {
            isClosing = true
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        const val MAXIMUM_WAITING = 8
    }
}
