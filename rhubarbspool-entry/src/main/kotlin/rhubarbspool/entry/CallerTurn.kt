/*
 * The answer to one request of a caller's connection. Requests that were sent behind each other run at the same time;
 * their answers leave in the order of the requests.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Writes one answer; [onCompleted] hears once that the answer has ended. */
internal class CallerTurn(
    private val channel: Channel,
    private val keepAlive: Boolean,
    private val isStopping: () -> Boolean,
    private val onCompleted: (CallerTurn) -> Unit,
) {
    private val output = TurnOutput(channel)
    private var closesAfter = false
    private var isAborted = false

    /** Hears that the caller has gone. */
    var onCallerGone: () -> Unit = {}

    /** Hears that more can be written. */
    var onWritable: () -> Unit = {}

    /** Whether more of a large answer can be taken now. */
    val isWritable: Boolean get() = output.isWritable

    /** Whether the answer has ended. */
    var isComplete = false
        private set

    /** Whether the connection ends with this answer. */
    val isLast: Boolean get() = closesAfter || isAborted

    /** Gives the whole answer. */
    fun send(status: Int, headers: HttpHeaders, body: ByteBuf) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
        response.headers().set(headers)
        if (status !in BODILESS_STATUSES) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        setConnectionHeader(response.headers())
        output.write(response)
        complete()
    }

    /** Begins a large answer. */
    fun startStream(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        val isFramed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!isFramed) HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response.headers())
        output.write(response)
    }

    /** Passes on a part of a large answer. */
    fun sendPart(bytes: ByteBuf) = output.write(DefaultHttpContent(bytes))

    /** Ends a large answer. */
    fun endStream() {
        output.write(DefaultLastHttpContent())
        complete()
    }

    /** Breaks the answer off; the connection ends without looking complete. */
    fun abort() {
        isAborted = true
        complete()
    }

    /** It is this answer's turn. */
    fun activate() {
        output.activate()
        onWritable()
    }

    /** The caller has gone. */
    fun onDisconnected() {
        output.discard()
        if (isComplete) return
        isComplete = true
        onCallerGone()
    }

    /** Ends the connection if this answer is its last. */
    fun closeIfLast() {
        if (isAborted) {
            channel.close()
        } else if (closesAfter) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        closesAfter = !keepAlive || isStopping()
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
