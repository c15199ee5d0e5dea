/*
 * Writes records of once-only requests to the table, many in one transaction. While the table is unavailable, and only
 * after every successor of this instance was informed, requests run unrecorded; their records are written once the
 * table is available again.
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

/** Writes records of once-only requests; used on [loop] only. [writer] is a unique prefix of transaction ids. */
internal class OnceRecorder(
    private val loop: EventLoop,
    private val table: TableClient,
    private val writer: String,
) {
    private class Intent(
        val key: String,
        val body: OnceBody,
        val expireSeconds: Long,
        val onResult: (IntentResult) -> Unit
    )

    private val intents = ArrayDeque<Intent>()
    private val outcomes = LinkedHashMap<String, Write>()
    private val unrecorded = LinkedHashMap<String, Write>()
    private var isWriting = false
    private var isScheduled = false
    private var lastWriteAt = 0L
    private var sequence = 0L
    private var unavailableSince: Long? = null

    /** Whether the table lacks records of requests that ran, or is unavailable so that more may run unrecorded. */
    val hasUnrecordedRuns: Boolean get() = unrecorded.isNotEmpty() || unavailableSince != null

    /** Whether no record of an unrecorded run is still to be written. */
    val isFlushed: Boolean get() = unrecorded.isEmpty()

    /** Records that a request is about to run; [onResult] gets the result, or `Unavailable` during an outage. */
    fun recordIntent(key: String, body: OnceBody, expireSeconds: Long, onResult: (IntentResult) -> Unit) {
        if (unavailableSince != null) return onResult(IntentResult.Unavailable)
        intents += Intent(key, body, expireSeconds, onResult)
        schedule()
    }

    /** Keeps the record of the request under [key], which runs unrecorded, to be written after the outage. */
    fun recordUnrecordedRun(key: String, body: OnceBody, expireSeconds: Long) {
        unrecorded[key] = Write(key, body, expireSeconds)
        schedule()
    }

    /** Records the [answer] to the request under [key]. */
    fun recordOutcome(key: String, body: OnceBody, answer: RecordedAnswer, expireSeconds: Long) {
        val completed = body.copy(status = answer.status, contentType = answer.contentType, answer = answer.body)
        val write = Write(key, completed, expireSeconds)
        if (key in unrecorded) unrecorded[key] = write else outcomes[key] = write
        schedule()
    }

    private fun schedule() {
        if (isWriting || isScheduled) return
        isScheduled = true
        val interval = if (unavailableSince == null) WRITE_INTERVAL_MILLISECONDS else RETRY_MILLISECONDS
        val wait = maxOf(0, lastWriteAt + interval - ProcessClock.monotonic())
        loop.schedule(::write, wait, TimeUnit.MILLISECONDS)
    }

    private fun write() {
        isScheduled = false
        if (isWriting) return
        val batch = generateSequence { intents.removeFirstOrNull() }.take(BATCH_SIZE).toList()
        val deferred = (unrecorded + outcomes).values.take(BATCH_SIZE)
        if (batch.isEmpty() && deferred.isEmpty() && unavailableSince == null) return
        isWriting = true
        lastWriteAt = ProcessClock.monotonic()
        val transaction = Transaction(
            "$writer.${++sequence}",
            batch.map { Condition(it.key, 0) },
            batch.map { Write(it.key, it.body, it.expireSeconds) } + deferred,
        )
        table.commit(transaction).thenAccept { result ->
            loop.execute { onWritten(batch, deferred, result.resolve(transaction)) }
        }
    }

    private fun onWritten(batch: List<Intent>, deferred: List<Write>, result: CommitResult) {
        isWriting = false
        unavailableSince = if (result is CommitResult.Unknown) unavailableSince ?: ProcessClock.monotonic() else null
        when (result) {
            is CommitResult.Committed -> {
                deferred.forEach { write ->
                    unrecorded.remove(write.key, write)
                    outcomes.remove(write.key, write)
                }
                batch.forEach { it.onResult(IntentResult.Recorded) }
            }

            is CommitResult.Conflict -> onConflict(batch, result)
            is CommitResult.Unknown -> {
                val waiting = batch + generateSequence { intents.removeFirstOrNull() }
                waiting.forEach { it.onResult(IntentResult.Unavailable) }
            }
        }
        if (intents.isNotEmpty() || deferred.isNotEmpty() || unavailableSince != null) schedule()
    }

    private fun onConflict(batch: List<Intent>, result: CommitResult.Conflict) {
        val found = result.rows.associate { it.key to it.body as? OnceBody }
        val (existing, absent) = batch.partition { found[it.key] != null }
        existing.forEach { it.onResult(duplicate(it, found.getValue(it.key)!!)) }
        intents.addAll(0, absent)
        schedule()
    }

    /** A record of the same epoch was written by an earlier attempt of this gate, which did not run the request. */
    private fun duplicate(intent: Intent, found: OnceBody): IntentResult {
        val sameAttempt = found.gateEpoch == intent.body.gateEpoch && found.fingerprint == intent.body.fingerprint
        val status = found.status
        return when {
            sameAttempt && status == null -> IntentResult.Recorded
            status == null -> IntentResult.Duplicate(found.fingerprint, null)
            else -> IntentResult.Duplicate(found.fingerprint, RecordedAnswer(status, found.contentType, found.answer))
        }
    }

    private companion object {
        const val WRITE_INTERVAL_MILLISECONDS = 40L
        const val RETRY_MILLISECONDS = 500L
        const val BATCH_SIZE = 200
    }
}
