/*
 * Assembles a caller's requests from the HTTP objects of its connection, within the configured limits.
 */
package rhubarbspool.entry

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import java.io.ByteArrayOutputStream

/** A caller's whole request; [arrivedAt] is in monotonic milliseconds; the caller [readsChunks] or not. */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val arrivedAt: Long,
    val readsChunks: Boolean = true,
)

/** Receives requests; after [onInvalid] nothing more is read. */
internal interface ReaderListener {
    /** A whole request arrived; [keepAlive] if its caller keeps the connection open. */
    fun onRequest(request: CallerRequest, keepAlive: Boolean)

    /** The input is malformed or exceeds a limit. */
    fun onInvalid(error: RequestError)
}

/**
 * Reads requests; [bodyLimit] is the maximum size of a body in bytes, [memory] holds the bodies. Calls
 * [onContinueExpected] when a caller waits for an interim response before it sends a body.
 */
internal class RequestReader(
    private val bodyLimit: () -> Long,
    private val memory: BodyMemory,
    private val clock: () -> Long,
    private val listener: ReaderListener,
    private val onContinueExpected: () -> Unit,
) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)

    /** The headers of the request whose body is being read; null if there is none. */
    val headers: HttpHeaders? get() = head?.headers()

    /** Whether no request is being read. */
    val isIdle: Boolean get() = head == null

    /** Reads the next HTTP object. */
    fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return onDecoderFailure(message.decoderResult().cause())
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent) onContent(message)
    }

    private fun onDecoderFailure(cause: Throwable) {
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        reject(if (tooLong) ErrorKind.HEADERS_TOO_LARGE else ErrorKind.MALFORMED_REQUEST)
    }

    private fun onHead(request: HttpRequest) {
        head = request
        body = ByteArrayOutputStream(0)
        if (HttpUtil.getContentLength(request, 0L) > bodyLimit()) {
            reject(ErrorKind.BODY_TOO_LARGE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            onContinueExpected()
        }
    }

    private fun onContent(content: HttpContent) {
        val request = head ?: return
        val bytes = content.content().readableBytes()
        when {
            body.size() + bytes > bodyLimit() -> reject(ErrorKind.BODY_TOO_LARGE)
            !memory.reserve(bytes) -> reject(ErrorKind.BODY_MEMORY_EXHAUSTED, MEMORY_RETRY_MILLISECONDS)
            else -> {
                content.content().readBytes(body, bytes)
                if (content is LastHttpContent) complete(request)
            }
        }
    }

    private fun complete(request: HttpRequest) {
        head = null
        val received = body.toByteArray()
        body = ByteArrayOutputStream(0)
        val callerRequest = CallerRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            received,
            clock(),
            readsChunks = request.protocolVersion() != HttpVersion.HTTP_1_0,
        )
        listener.onRequest(callerRequest, HttpUtil.isKeepAlive(request))
    }

    /** Discards what was received of a body. */
    fun close() {
        memory.release(body.size())
        body = ByteArrayOutputStream(0)
        head = null
    }

    private fun reject(kind: ErrorKind, retryAfterMilliseconds: Long? = null) {
        close()
        listener.onInvalid(RequestError(kind, retryAfterMilliseconds = retryAfterMilliseconds))
    }

    private companion object {
        /** Bodies that are being received are complete after about this time. */
        const val MEMORY_RETRY_MILLISECONDS = 300L
    }
}
