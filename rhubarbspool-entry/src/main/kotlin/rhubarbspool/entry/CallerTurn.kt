/*
 * The answer to one request of a caller's connection. Requests that were sent behind each other run at the same time;
 * their answers leave in the order of the requests.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil

/** Writes one answer; [finished] hears once that the answer has ended and whether the connection goes on. */
internal class CallerTurn(
    private val channel: Channel,
    private val keepAlive: Boolean,
    private val closing: () -> Boolean,
    private val finished: (CallerTurn) -> Unit,
) {
    private val waiting = ArrayDeque<HttpObject>()
    private var current = false
    private var closeAfter = false
    private var complete = false
    private var broken = false

    /** Hears that the caller has gone. */
    var onGone: () -> Unit = {}

    /** Hears that more can be written. */
    var onWritable: () -> Unit = {}

    /** Whether more of a large answer can be taken now. */
    val isWritable: Boolean get() = current && channel.isWritable

    /** Whether the answer has ended. */
    val isComplete: Boolean get() = complete

    /** Whether the connection ends with this answer. */
    val isLast: Boolean get() = closeAfter || broken

    /** Gives the whole answer. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
        if (complete) {
            body.release()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
        response.headers().set(headers)
        if (status !in BODILESS) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        markConnection(response.headers())
        write(response)
        complete()
    }

    /** Begins a large answer. */
    fun begin(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) HttpUtil.setTransferEncodingChunked(response, true)
        markConnection(response.headers())
        write(response)
    }

    /** Passes on a part of a large answer. */
    fun part(bytes: ByteBuf) = write(DefaultHttpContent(bytes))

    /** Ends a large answer. */
    fun end() {
        write(DefaultLastHttpContent())
        complete()
    }

    /** Breaks the answer off; the connection ends without looking complete. */
    fun abort() {
        if (complete) return
        broken = true
        complete()
    }

    /** It is this answer's turn. */
    fun start() {
        current = true
        flush()
        onWritable()
    }

    /** The caller has gone. */
    fun gone() {
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        if (!complete) {
            complete = true
            onGone()
        }
    }

    /** Ends the connection if this answer is its last. */
    fun closeIfLast() {
        when {
            broken -> channel.close()
            closeAfter -> channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun markConnection(headers: HttpHeaders) {
        closeAfter = !keepAlive || closing()
        if (closeAfter) headers.set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun write(part: HttpObject) {
        if (complete) {
            ReferenceCountUtil.release(part)
            return
        }
        waiting += part
        flush()
    }

    private fun flush() {
        if (!current || waiting.isEmpty()) return
        while (waiting.isNotEmpty()) channel.write(waiting.removeFirst(), channel.voidPromise())
        channel.flush()
    }

    private fun complete() {
        complete = true
        finished(this)
    }

    private companion object {
        val BODILESS = setOf(204, 304)
    }
}
