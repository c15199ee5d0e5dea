/*
 * Assembles the response to the request in flight from what a connection delivers, and says whether it is whole and
 * belongs to that request.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import rhubarbspool.dispatch.ConnectionRecord
import rhubarbspool.dispatch.Disorder
import rhubarbspool.dispatch.ResponseOwner
import rhubarbspool.edge.StatusLines

/** The response on the connection of [record]. */
internal class ResponseAssembly(private val record: ConnectionRecord, private val names: HeaderNames) {
    private val scanner = StatusLineScanner { record.isNamedIn(it) || names.notExecuted in it }
    private var buffered = Unpooled.compositeBuffer(MAXIMUM_PARTS)
    private var isSkipping = false

    /** The head of the response; null until it has arrived. */
    var head: ServerHead? = null
        private set

    /** Whether the last byte of the response has arrived. */
    var isComplete = false
        private set

    /** Whether the body quotes a status line, or ends like one, so that it may end later than it seems. */
    val isDoubtful: Boolean get() = scanner.hasStatusLine || scanner.begunBytes > 1

    /** Number of bytes of the body that have not been taken. */
    val bufferedBytes: Int get() = buffered.readableBytes()

    /** Adds [message]; returns the reason if the connection can deliver no response to the request any more. */
    fun add(message: HttpObject): BreakCause? {
        if (message.decoderResult().isFailure) return BreakCause.NOT_HTTP
        val cause = if (message is HttpResponse) onHead(message) else null
        if (cause == null && message is HttpContent) onContent(message)
        return cause
    }

    private fun onHead(response: HttpResponse): BreakCause? {
        isSkipping = ServerHead.isInterim(response)
        return when {
            isSkipping -> null
            // A head that was cut off, with another one behind it.
            StatusLines.isIn(response) -> BreakCause.NOT_HTTP
            else -> onFinalHead(ServerHead.of(response))
        }
    }

    private fun onFinalHead(final: ServerHead): BreakCause? {
        val owner = record.ownerOf(final.headers.getAll(names.requestId))
        isSkipping = owner == ResponseOwner.ANOTHER
        // Without its length, a response to another request can't be told from what follows it.
        val isSkippable = isSkipping && final.isFramed
        val isOwn = owner == ResponseOwner.IN_FLIGHT && final.isAcceptable(names)
        if (isOwn) {
            head = final
            final.headers.get(names.signature)?.let(record::onSignature)
        }
        return BreakCause.WRONG_ANSWER.takeUnless { isSkippable || isOwn }
    }

    private fun onContent(content: HttpContent) {
        if (head == null || isSkipping) return
        scanner.scan(content.content())
        if (content.content().isReadable) buffered.addComponent(true, content.content().retain())
        isComplete = content is LastHttpContent
    }

    /**
     * Why the response, which is complete, must not be relayed; null if it may be. A body without a length is not whole
     * if its connection [failed].
     */
    fun flaw(failed: Boolean): BreakCause? {
        val current = head
        val isDisordered = record.disorder != null
        val isBegun = scanner.hasStatusLine || scanner.begunBytes > 0
        val isUnframed = current?.isFramed == false
        val isMixed = scanner.hasRepeat || (isBegun && isDisordered) || (scanner.hasStatusLine && isUnframed)
        if (isMixed) record.onDisorder(Disorder.RESPONSE_IN_BODY)
        // One that names no request may be a copy of one that follows.
        val isUnnamed = current?.headers?.contains(names.requestId) != true
        return when {
            failed && current?.isFramed != true -> BreakCause.CLOSED
            isMixed || (isUnnamed && isDisordered) -> BreakCause.WRONG_ANSWER
            else -> null
        }
    }

    /** Takes the bytes of the body that have arrived; the caller owns them. */
    fun takePart(): ByteBuf = buffered.also { buffered = Unpooled.compositeBuffer(MAXIMUM_PARTS) }

    /** A copy of the bytes of the body that were not taken; the caller owns it. */
    fun copyRest(): ByteBuf = buffered.copy()

    /** Releases the bytes that were not taken. */
    fun release() {
        buffered.release()
    }

    private companion object {
        const val MAXIMUM_PARTS = 4_096
    }
}
