/*
 * Open-loop load: sends requests at a constant rate, independent of earlier responses, and counts the answers.
 */
package rhubarbspool.lab

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.HdrHistogram.Histogram
import rhubarbspool.edge.HttpAnswer
import rhubarbspool.edge.HttpCall
import rhubarbspool.edge.HttpClient
import rhubarbspool.model.Address
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/** Runs one [plan]. All counters are updated on one event loop. */
internal class LoadGenerator(private val plan: LoadPlan, private val run: String) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val client = HttpClient(group, TIMEOUT_MILLISECONDS)
    private val latency = Histogram(HISTOGRAM_DIGITS)
    private val unserved = Histogram(HISTOGRAM_DIGITS)
    private val answers = sortedMapOf<String, Long>()
    private val servedAt = LongArray(plan.keys)
    private val longestGap = LongArray(plan.keys)
    private val avoidedUntil = HashMap<Address, Long>()
    private var sent = 0L
    private var countFrom = 0L
    private var finished = 0L
    private var served = 0L
    private var moved = 0L

    /** Runs the whole plan; calls [progress] each second with the numbers of requests sent and served. */
    fun run(progress: (Long, Long) -> Unit): LoadResult {
        val start = System.nanoTime()
        servedAt.fill(start)
        val total = plan.rate.toLong() * (plan.warmUpSeconds + plan.seconds)
        val ticker = loop.scheduleAtFixedRate({ sendDue(start, total) }, 0, 1, TimeUnit.MILLISECONDS)
        repeat(plan.warmUpSeconds + plan.seconds) { second ->
            if (second == plan.warmUpSeconds) loop.execute(::beginCounting)
            Thread.sleep(MILLISECONDS_PER_SECOND)
            progress(sent, served)
        }
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS)
        while (finished < total && System.nanoTime() < end) Thread.sleep(POLL_MILLISECONDS)
        ticker.cancel(false)
        val result = loop.submit<LoadResult> { result() }.get()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        return result
    }

    private fun beginCounting() {
        countFrom = sent
        latency.reset()
        answers.clear()
        longestGap.fill(0)
        served = 0
    }

    private fun sendDue(start: Long, total: Long) {
        val elapsed = System.nanoTime() - start
        val due = minOf(total, elapsed * plan.rate / TimeUnit.SECONDS.toNanos(1))
        while (sent < due) send(sent++, System.nanoTime(), attempt = 0)
    }

    private fun send(number: Long, startedAt: Long, attempt: Int) {
        val key = (number % plan.keys).toInt()
        val target = target(number + attempt)
        client.send(target, call(number, key)).whenComplete { answer, failure ->
            val refused = failure is ConnectException
            if (refused) avoidedUntil[target] = System.nanoTime() + AVOIDANCE_NANOSECONDS
            if (refused && attempt < plan.targets.size) {
                moved++
                send(number, startedAt, attempt + 1)
            } else {
                finish(number, startedAt, answer, failure)
            }
        }
    }

    /** The next target in turn without a recently refused connection, as the platform's load balancer would choose. */
    private fun target(number: Long): Address {
        val now = System.nanoTime()
        val first = (number % plan.targets.size).toInt()
        return plan.targets.indices.map { plan.targets[(first + it) % plan.targets.size] }
            .firstOrNull { (avoidedUntil[it] ?: 0) < now } ?: plan.targets[first]
    }

    private fun call(number: Long, key: Int): HttpCall {
        val booking = plan.bookingPath?.takeIf { plan.isBooking(number) }
            ?: return HttpCall("GET", plan.path.replace("{key}", "key-$key"))
        val headers = mapOf("idempotency-key" to "$run-$number", "rhubarbspool-attempt" to "1")
        return HttpCall("POST", booking.replace("{key}", "key-$key"), "booking $number", headers)
    }

    private fun finish(number: Long, startedAt: Long, answer: HttpAnswer?, failure: Throwable?) {
        val now = System.nanoTime()
        finished++
        if (number < countFrom) return
        val ok = answer != null && answer.status in SUCCESS
        val label = when {
            answer == null -> "connection: ${failure?.javaClass?.simpleName}"
            ok -> "served"
            else -> "${answer.status} ${answer.headers["rhubarbspool-error"]} ${answer.headers["rhubarbspool-outcome"]}"
        }
        answers.merge(label, 1, Long::plus)
        if (!ok) return
        val key = (number % plan.keys).toInt()
        served++
        latency.recordValue(TimeUnit.NANOSECONDS.toMicros(now - startedAt))
        longestGap[key] = maxOf(longestGap[key], now - servedAt[key])
        servedAt[key] = now
    }

    private fun result(): LoadResult {
        longestGap.forEach { unserved.recordValue(TimeUnit.NANOSECONDS.toMicros(it)) }
        val counts = answers.map { AnswerCount(it.key, it.value) }
        return LoadResult(sent - countFrom, served, counts, Percentiles.of(latency), Percentiles.of(unserved), moved)
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 6_000L
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val POLL_MILLISECONDS = 10L
        const val AVOIDANCE_NANOSECONDS = 500_000_000L
        const val HISTOGRAM_DIGITS = 3
        val SUCCESS = 200..299
    }
}
