/*
 * One run at a backend server and the requests that share its answer. The answer is streamed when it belongs to one
 * request only, and buffered until it is complete when several may share it or it is to be recorded.
 */
package rhubarbspool.router

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import rhubarbspool.gate.CallResult
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.RecordedAnswer
import java.io.ByteArrayOutputStream

/** Callbacks of a run to its gate. */
internal interface ServerRunOwner {
    /** Sinks of the requests that wait for [call], in order of arrival. */
    fun sinks(call: Long): List<AnswerSink>

    /** The answer exceeds the buffer limit: all requests but the first need calls of their own. */
    fun detachOthers(call: Long)

    /** The run ended with [result]; [wire] says how its exchange ended. */
    fun onFinished(run: ServerRun, result: CallResult, wire: WireEnd)
}

/** The run of [request]. An answer of more than [maximumBufferedBytes] is streamed to its first caller only. */
internal class ServerRun(
    val request: GateRequest,
    val sentAt: Long,
    private val server: String,
    private val maximumBufferedBytes: Long,
    private val owner: ServerRunOwner,
) : ServerCallListener {
    private val buffer = ByteArrayOutputStream()
    private val isShared = request.coalesceKey != null || request.onceId != null
    private var head: AnswerHead? = null
    private var refusal: CallResult? = null
    private var streaming = false

    /** The exchange with the server, once the run has a connection. */
    var call: ServerCall? = null

    /** Whether the answer is being streamed, so that no further request can share it. */
    val isStreaming: Boolean get() = streaming

    override fun onHead(response: HttpResponse) {
        val status = response.status().code()
        val retryAfter = response.headers()[HttpHeaderNames.RETRY_AFTER]
        refusal = when {
            status == GRANT_REFUSED -> CallResult.NotSent
            status == UNAVAILABLE && retryAfter != null ->
                CallResult.Shed(retryAfter.toLongOrNull()?.times(MILLISECONDS_PER_SECOND))
            else -> null
        }
        val relayed = response.headers().filterNot { it.key.lowercase() in NOT_RELAYED }
        head = AnswerHead(status, relayed.map { Header(it.key, it.value) }, server)
        if (refusal == null && !isShared) stream()
    }

    override fun onBody(bytes: ByteArray) {
        if (refusal != null) return
        if (streaming) return relay(bytes)
        buffer.write(bytes)
        if (buffer.size() > maximumBufferedBytes) {
            owner.detachOthers(request.id)
            stream()
        }
    }

    override fun onEnd(end: WireEnd) {
        val whole = end == WireEnd.WHOLE || end == WireEnd.WHOLE_CLOSED
        val status = head?.status
        val result = when {
            end == WireEnd.NOT_SENT -> CallResult.NotSent
            refusal != null && whole -> requireNotNull(refusal)
            whole && status != null -> CallResult.Answered(status, record(status))
            else -> CallResult.Broken(answerBegan = streaming, byServer = end == WireEnd.CLOSED_BY_SERVER)
        }
        if (whole && refusal == null) finishSinks() else if (streaming) owner.sinks(request.id).forEach { it.abort() }
        owner.onFinished(this, result, end)
    }

    private fun record(status: Int): RecordedAnswer? {
        if (request.onceId == null) return null
        val isRecordable = buffer.size() <= MAXIMUM_RECORDED_BYTES && !streaming
        val type = head?.headers?.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value
        return RecordedAnswer(status, type, if (isRecordable) buffer.toString(Charsets.UTF_8) else null)
    }

    private fun finishSinks() {
        val sinks = owner.sinks(request.id)
        if (!streaming) {
            val bytes = buffer.toByteArray()
            sinks.forEach { sink ->
                head?.let(sink::head)
                if (bytes.isNotEmpty()) sink.body(bytes)
            }
        }
        sinks.forEach { it.complete() }
    }

    private fun stream() {
        streaming = true
        val sink = owner.sinks(request.id).firstOrNull() ?: return
        head?.let(sink::head)
        if (buffer.size() > 0) relay(buffer.toByteArray())
    }

    private fun relay(bytes: ByteArray) {
        val sink = owner.sinks(request.id).firstOrNull() ?: return
        sink.body(bytes)
        if (sink.isWritable) return
        call?.setReading(false)
        sink.onWritable { call?.setReading(true) }
    }

    private companion object {
        const val GRANT_REFUSED = 412
        const val UNAVAILABLE = 503
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val MAXIMUM_RECORDED_BYTES = 4_096
        val NOT_RELAYED = setOf("connection", "keep-alive", "transfer-encoding", "content-length")
    }
}
