/*
 * Runs of a backend server stand-in: slots, a queue of waiting requests, a cold phase, and overload while cold.
 */
package rhubarbspool.standins

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.FullHttpRequest
import rhubarbspool.edge.ProcessClock
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/** Runs requests on [loop] with the current [behaviour]. */
internal class StandInRuns(
    private val name: String,
    private val loop: EventLoop,
    private val random: Random,
    private val behaviour: () -> ServerBehaviour,
) {
    private class Run(
        val context: ChannelHandlerContext,
        val call: String?,
        val requestId: String?,
        val target: String,
        val body: String,
        val deadlineAt: Long,
    )

    private val waiting = ArrayDeque<Run>()
    private val runsById = HashMap<String, Int>()
    private val cancelled = HashSet<String>()
    private var incarnation = 0
    private var total = 0L
    private var mostAtOnce = 0
    private var mostAtOnceCold = 0
    private var fellOver = 0
    private var startedAt = 0L

    /** Number of running requests. */
    var running = 0
        private set

    /** Whether the cold phase after the last start has not ended. */
    val isCold: Boolean get() = ProcessClock.monotonic() - startedAt < behaviour().coldMilliseconds

    /** Begins a new incarnation, cold; running and queued requests are lost. */
    fun restart() {
        incarnation++
        startedAt = ProcessClock.monotonic()
        running = 0
        waiting.clear()
    }

    /** Counts over all incarnations. */
    fun counts(refusedByGrant: Long): ServerCounts {
        val repeated = runsById.filterValues { it > 1 }.keys.toList()
        return ServerCounts(total, repeated, mostAtOnce, mostAtOnceCold, fellOver, refusedByGrant)
    }

    /** Keeps [call] from starting, queued or still to arrive; a running call continues. */
    fun cancel(call: String) {
        cancelled += call
        waiting.removeIf { it.call == call }
    }

    /** Enqueues [request] with the deadline in its headers, and starts it when a slot is free. */
    fun add(context: ChannelHandlerContext, request: FullHttpRequest, body: String) {
        val headers = request.headers()
        val remaining = headers["rhubarbspool-remaining-milliseconds"]?.toLongOrNull() ?: Int.MAX_VALUE.toLong()
        val deadlineAt = ProcessClock.monotonic() + remaining
        val requestId = headers["idempotency-key"]
        waiting += Run(context, headers["rhubarbspool-call"], requestId, request.uri(), body, deadlineAt)
        startNext()
    }

    private fun startNext() {
        val load = running + waiting.size
        if (isCold && load > behaviour().coldSlots) {
            mostAtOnceCold = maxOf(mostAtOnceCold, load)
            fellOver++
            startedAt = ProcessClock.monotonic()
        }
        while (running < behaviour().slots && waiting.isNotEmpty()) run(waiting.removeFirst())
    }

    private fun run(run: Run) {
        if (ProcessClock.monotonic() >= run.deadlineAt || run.call in cancelled) {
            run.context.answer(UNAVAILABLE, "deadline passed before the run", retryAfter = true)
            return
        }
        running++
        total++
        mostAtOnce = maxOf(mostAtOnce, running)
        if (isCold) mostAtOnceCold = maxOf(mostAtOnceCold, running)
        run.requestId?.let { runsById.merge(it, 1, Int::plus) }
        val current = incarnation
        loop.schedule({ if (current == incarnation) finish(run) }, serviceMicroseconds(), TimeUnit.MICROSECONDS)
    }

    private fun serviceMicroseconds(): Long {
        val spread = HALF - HALF * ln(1 - random.nextDouble())
        val factor = behaviour().slowFactor * if (isCold) behaviour().coldFactor else 1.0
        return (behaviour().serviceMilliseconds * factor * spread * MICROSECONDS).toLong()
    }

    private fun finish(run: Run) {
        running--
        val filler = "x".repeat(behaviour().answerBytes)
        val text = "{\"server\":\"$name\",\"target\":\"${run.target}\",\"request\":\"${run.requestId ?: ""}\"," +
            "\"echo\":\"${run.body.length}\",\"filler\":\"$filler\"}"
        run.context.answer(OK, text)
        startNext()
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val HALF = 0.5
        const val MICROSECONDS = 1_000.0
    }
}
