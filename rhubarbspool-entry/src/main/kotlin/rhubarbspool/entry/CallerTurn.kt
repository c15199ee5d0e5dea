/*
 * The response to one request of a caller's connection. Pipelined requests run concurrently; their responses are sent
 * in the order of the requests.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import rhubarbspool.dispatch.ExecutionRecord
import rhubarbspool.dispatch.FinalStatus

/**
 * Writes one response; calls [onCompleted] once when the response has ended, unless the caller disconnected. If the
 * caller wants to [keepAlive] the connection, [isEnding] says whether it closes after this response all the same.
 */
internal class CallerTurn(
    private val channel: Channel,
    keepAlive: Boolean,
    private val isEnding: (CallerTurn) -> Boolean,
    private val onCompleted: (CallerTurn) -> Unit,
) {
    private val output = TurnOutput(channel)
    private var closesAfter = !keepAlive
    private var isAborted = false

    /** Whether the request has run, and the source of the status of its response. */
    val executions = ExecutionRecord()

    /** Called when the caller disconnects before the response has ended. */
    var onCallerGone: () -> Unit = {}

    /** Called when all earlier responses of the connection have ended, unless one of them closes it. */
    var onCurrent: () -> Unit = {}
        set(action) {
            field = action
            if (output.isCurrent) action()
        }

    /** Called when more of a streamed response can be written. */
    var onWritable: () -> Unit = {}

    /** Whether more of a streamed response can be written without queueing. */
    val isWritable: Boolean get() = output.isWritable

    /** Whether the response has ended. */
    var isComplete = false
        private set

    /** Whether the connection closes after this response. */
    val isLast: Boolean get() = closesAfter || isAborted

    /** Sends a whole response. */
    fun send(status: FinalStatus, headers: HttpHeaders, body: ByteBuf) {
        val responseStatus = HttpResponseStatus.valueOf(status.code)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, responseStatus, body)
        response.headers().set(headers)
        if (status.code !in BODILESS_STATUSES) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        setConnectionHeader(response.headers())
        output.write(response)
        complete()
    }

    /** Sends the head of a streamed response. */
    fun startStream(status: FinalStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status.code))
        response.headers().set(headers)
        val isFramed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!isFramed) HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response.headers())
        output.write(response)
    }

    /** Sends a part of a streamed response. */
    fun sendPart(bytes: ByteBuf) = output.write(DefaultHttpContent(bytes))

    /** Ends a streamed response. */
    fun endStream() {
        output.write(DefaultLastHttpContent())
        complete()
    }

    /**
     * Aborts the response: the connection closes without a proper end, so the caller can't take the response for
     * complete.
     */
    fun abort() {
        isAborted = true
        complete()
    }

    /** Starts writing: all earlier responses have ended. */
    fun activate() {
        output.activate()
        onCurrent()
        onWritable()
    }

    /** The caller has disconnected; discards unwritten output. */
    fun onDisconnected() {
        output.discard()
        if (isComplete) return
        isComplete = true
        onCallerGone()
    }

    /** Closes the connection if this is its last response. */
    fun closeIfLast() {
        if (isLast) output.closeChannel()
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        closesAfter = closesAfter || isEnding(this)
        if (closesAfter) headers.set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun complete() {
        if (isComplete) return
        isComplete = true
        output.seal()
        onCompleted(this)
    }

    private companion object {
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
