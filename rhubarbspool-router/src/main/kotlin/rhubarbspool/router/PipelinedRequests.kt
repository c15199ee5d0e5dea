/*
 * The requests of one connection in their order: one is under way at a time, so answers go out in the order of
 * the requests. A connection with many waiting is not read any further.
 */
package rhubarbspool.router

import arrow.core.Either
import arrow.core.left
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** A request as it was read, or the error that answers it. */
internal class ReceivedRequest(val keepAlive: Boolean, val head: Either<RequestError, AcceptedHead>) {
    val body = ByteArrayOutputStream()
}

/** Answers the requests of the connection of [context] in turn. */
internal class PipelinedRequests(private val admission: CallerAdmission, private val context: ChannelHandlerContext) {
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var answer: CallerAnswer? = null
    private var cancellable: Cancellable? = null

    /** Whether no more requests are read from the connection. */
    var isClosing: Boolean = false
        private set

    /** Whether no request waits or is under way. */
    val isIdle: Boolean get() = answer == null && waiting.isEmpty()

    /** Adds a whole request. */
    fun add(request: ReceivedRequest) {
        waiting += request
        if (waiting.size >= MAXIMUM_WAITING) context.channel().config().isAutoRead = false
        if (answer == null) startNext()
    }

    /** Ends the connection with [error] after what came before it was answered. */
    fun failAndClose(error: RequestError) {
        isClosing = true
        add(ReceivedRequest(keepAlive = false, error.left()))
    }

    /** Closes the connection if [condition] holds on its event loop. */
    fun closeIf(condition: () -> Boolean) = context.executor().execute { if (condition()) context.close() }

    /** The caller sends nothing more, and still gets the answers that it waits for. */
    fun onInputShutdown() {
        isClosing = true
        if (isIdle) context.close()
    }

    /** The connection takes more bytes. */
    fun resumeWriting() {
        answer?.resumeWriting()
    }

    /** The caller has gone. */
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
