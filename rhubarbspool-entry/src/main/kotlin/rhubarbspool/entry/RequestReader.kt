/*
 * Assembles a caller's requests from the HTTP objects of its connection, within the configured limits.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** A caller's whole request; [arrivedAt] is in monotonic milliseconds. */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val arrivedAt: Long,
)

/** Receives requests; after [onInvalid] nothing more is read. */
internal interface ReaderListener {
    /** A whole request arrived; [keepAlive] if its caller keeps the connection open. */
    fun onRequest(request: CallerRequest, keepAlive: Boolean)

    /** The input is malformed or exceeds a limit. */
    fun onInvalid(error: RequestError)
}

/** Reads requests; [bodyLimit] is the maximum size of a body in bytes. */
internal class RequestReader(
    private val bodyLimit: () -> Long,
    private val clock: () -> Long,
    private val listener: ReaderListener,
) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)

    /** Whether no request is being read. */
    val isIdle: Boolean get() = head == null

    /** Reads the next HTTP object. */
    fun read(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) return onDecoderFailure(message.decoderResult().cause())
        if (message is HttpRequest) onHead(context, message)
        if (message is HttpContent) onContent(message)
    }

    private fun onDecoderFailure(cause: Throwable) {
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        reject(if (tooLong) ErrorKind.HEADERS_TOO_LARGE else ErrorKind.MALFORMED_REQUEST)
    }

    private fun onHead(context: ChannelHandlerContext, request: HttpRequest) {
        head = request
        body = ByteArrayOutputStream(0)
        if (HttpUtil.getContentLength(request, 0L) > bodyLimit()) {
            reject(ErrorKind.BODY_TOO_LARGE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            val status = HttpResponseStatus.CONTINUE
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun onContent(content: HttpContent) {
        val request = head ?: return
        val bytes = content.content().readableBytes()
        if (body.size() + bytes > bodyLimit()) return reject(ErrorKind.BODY_TOO_LARGE)
        content.content().readBytes(body, bytes)
        if (content is LastHttpContent) {
            head = null
            val method = request.method().name()
            val callerRequest = CallerRequest(method, request.uri(), request.headers(), body.toByteArray(), clock())
            listener.onRequest(callerRequest, HttpUtil.isKeepAlive(request))
        }
    }

    private fun reject(kind: ErrorKind) {
        head = null
        listener.onInvalid(RequestError(kind))
    }
}
