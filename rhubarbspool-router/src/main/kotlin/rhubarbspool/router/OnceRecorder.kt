/*
 * Records once-only requests at the table, many in one transaction. While the table is out, and only after every
 * successor of this instance was warned, requests run unrecorded; they are recorded when the table is back.
 */
package rhubarbspool.router

import io.netty.channel.EventLoop
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.TableClient
import rhubarbspool.gate.IntentResult
import rhubarbspool.gate.RecordedAnswer
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.OnceBody
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write
import rhubarbspool.table.resolve
import java.util.concurrent.TimeUnit

/** Writes records of once-only requests; used on [loop] only. [writer] makes write ids unique. */
internal class OnceRecorder(
    private val loop: EventLoop,
    private val table: TableClient,
    private val writer: String,
) {
    private class Intent(val key: String, val body: OnceBody, val expires: Long, val resolved: (IntentResult) -> Unit)

    private val intents = ArrayDeque<Intent>()
    private val outcomes = LinkedHashMap<String, Write>()
    private val unrecorded = LinkedHashMap<String, Write>()
    private var writing = false
    private var scheduled = false
    private var wroteAt = 0L
    private var sequence = 0L
    private var failedAt: Long? = null

    /** Whether requests run, or wait to be allowed to run, that the table does not know of. */
    val hasUnrecordedRuns: Boolean get() = unrecorded.isNotEmpty() || failedAt != null

    /** Whether every record of a run has reached the table. */
    val isFlushed: Boolean get() = unrecorded.isEmpty()

    /** Records that a request is about to run; [resolved] hears what the table said. */
    fun recordIntent(key: String, body: OnceBody, expireSeconds: Long, resolved: (IntentResult) -> Unit) {
        if (failedAt != null) return resolved(IntentResult.Unavailable)
        intents += Intent(key, body, expireSeconds, resolved)
        schedule()
    }

    /** Notes that the request under [key] runs although the table does not know of it. */
    fun ranUnrecorded(key: String, body: OnceBody, expireSeconds: Long) {
        unrecorded[key] = Write(key, body, expireSeconds)
        schedule()
    }

    /** Records what the request under [key] came to. */
    fun recordOutcome(key: String, body: OnceBody, answer: RecordedAnswer, expireSeconds: Long) {
        val whole = body.copy(status = answer.status, contentType = answer.contentType, answer = answer.body)
        val write = Write(key, whole, expireSeconds)
        if (key in unrecorded) unrecorded[key] = write else outcomes[key] = write
        schedule()
    }

    private fun schedule() {
        if (writing || scheduled) return
        scheduled = true
        val pace = if (failedAt == null) PACE_MILLISECONDS else RETRY_MILLISECONDS
        val wait = maxOf(0, wroteAt + pace - ProcessClock.monotonic())
        loop.schedule(::write, wait, TimeUnit.MILLISECONDS)
    }

    private fun write() {
        scheduled = false
        if (writing) return
        val batch = generateSequence { intents.removeFirstOrNull() }.take(BATCH).toList()
        val late = (unrecorded + outcomes).values.take(BATCH)
        if (batch.isEmpty() && late.isEmpty() && failedAt == null) return
        writing = true
        wroteAt = ProcessClock.monotonic()
        val transaction = Transaction(
            "$writer.${++sequence}",
            batch.map { Condition(it.key, 0) },
            batch.map { Write(it.key, it.body, it.expires) } + late,
        )
        table.commit(transaction).thenAccept { result ->
            loop.execute { written(batch, late, result.resolve(transaction)) }
        }
    }

    private fun written(batch: List<Intent>, late: List<Write>, result: CommitResult) {
        writing = false
        failedAt = if (result is CommitResult.Unknown) failedAt ?: ProcessClock.monotonic() else null
        when (result) {
            is CommitResult.Committed -> {
                late.forEach { write ->
                    unrecorded.remove(write.key, write)
                    outcomes.remove(write.key, write)
                }
                batch.forEach { it.resolved(IntentResult.Recorded) }
            }

            is CommitResult.Conflict -> conflict(batch, result)
            is CommitResult.Unknown -> {
                val waiting = batch + generateSequence { intents.removeFirstOrNull() }
                waiting.forEach { it.resolved(IntentResult.Unavailable) }
            }
        }
        if (intents.isNotEmpty() || late.isNotEmpty() || failedAt != null) schedule()
    }

    private fun conflict(batch: List<Intent>, result: CommitResult.Conflict) {
        val found = result.rows.associate { it.key to it.body as? OnceBody }
        val (taken, free) = batch.partition { found[it.key] != null }
        taken.forEach { it.resolved(duplicate(it, found.getValue(it.key)!!)) }
        intents.addAll(0, free)
        schedule()
    }

    /** A record of the very same epoch was written by an earlier try of this gate, which did not run the request. */
    private fun duplicate(intent: Intent, found: OnceBody): IntentResult {
        val own = found.gateEpoch == intent.body.gateEpoch && found.fingerprint == intent.body.fingerprint
        val status = found.status
        return when {
            own && status == null -> IntentResult.Recorded
            status == null -> IntentResult.Duplicate(found.fingerprint, null)
            else -> IntentResult.Duplicate(found.fingerprint, RecordedAnswer(status, found.contentType, found.answer))
        }
    }

    private companion object {
        const val PACE_MILLISECONDS = 40L
        const val RETRY_MILLISECONDS = 500L
        const val BATCH = 200
    }
}
