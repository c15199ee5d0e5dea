/*
 * What one gate has at its backend server: runs on their connections, and runs that were given up while the
 * server may still be at work on them. The lease is checked again right before each send.
 */
package rhubarbspool.router

import io.netty.channel.Channel
import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.edge.ProcessClock
import rhubarbspool.gate.GateRequest
import rhubarbspool.routing.KeyLocation

/** A request that may lawfully be sent now, and where its key is served. */
internal class SendableRequest(val incoming: IncomingRequest, val location: KeyLocation, val deadlineAt: Long)

/** Decides right before a send; implemented by the gate. */
internal interface SendCheck {
    /** What to send for the call of [request] at [now]; null when nothing may be sent any more. */
    fun requestToSend(request: GateRequest, now: Long): SendableRequest?

    /** Work that was given up has certainly ended; [request] is null for work of an earlier gate. */
    fun onAbandonedRunEnded(request: GateRequest?)
}

/** Work of one gate at [server]. Used on one event loop. */
internal class GateWork(
    private val context: RouterContext,
    private val server: BackendServer,
    private val watch: ServerWatch,
    private val check: SendCheck,
) {
    /** Work that was given up and that the server may still be at; [request] is null for work of an earlier gate. */
    private class AbandonedRun(val request: GateRequest?, val until: Long)

    private val runs = HashMap<Long, ServerRun>()
    private val abandoned = ArrayList<AbandonedRun>()
    private var connections: ServerConnections? = null

    /** Whether nothing can still run. */
    val isEmpty: Boolean get() = runs.isEmpty() && abandoned.isEmpty()

    /** Whether runs are under way. */
    val hasRuns: Boolean get() = runs.isNotEmpty()

    operator fun get(call: Long): ServerRun? = runs[call]

    /** Whether nothing that [matches] can still run; work of an earlier gate matches everything. */
    fun hasEnded(matches: (GateRequest) -> Boolean): Boolean =
        runs.values.none { matches(it.request) } && abandoned.none { it.request == null || matches(it.request) }

    /** Sends [run] over a connection to the server. */
    fun start(run: ServerRun, configuration: ServiceConfiguration) {
        runs[run.request.id] = run
        val maximumConnections = configuration.limits.connections
        val pool = connections
            ?: ServerConnections(context.loop, server.address, maximumConnections).also { connections = it }
        pool.acquire { acquired ->
            acquired.fold({ send(run, it, configuration) }, {
                watch.probe(ProcessClock.monotonic())
                run.onEnd(WireEnd.NOT_SENT)
            })
        }
    }

    /** The run of [call] has ended. */
    fun remove(call: Long) {
        runs.remove(call)
    }

    /** The server may still work on [run], which was given up at [now]. */
    fun trackAbandoned(run: ServerRun, configuration: ServiceConfiguration, now: Long) {
        val maximumExecution = configuration.limits.maximumExecutionMilliseconds
        val until = if (server.checksGrants) maxOf(now, watch.latestGrantExpiresAt) else run.sentAt + maximumExecution
        val abandonedRun = AbandonedRun(run.request, until)
        abandoned += abandonedRun
        watch.cancel("${run.request.id}") { removeAbandoned(abandonedRun) }
    }

    /** An earlier gate may have sent work that runs until [until]. */
    fun trackInherited(until: Long) {
        abandoned += AbandonedRun(null, until)
    }

    /** Lets time pass: settles what must have ended and gives up connections that went silent. */
    fun tick(configuration: ServiceConfiguration, now: Long) {
        abandoned.filter { it.until <= now }.forEach(::removeAbandoned)
        val silenceLimit = configuration.limits.silenceMilliseconds
        runs.values.mapNotNull { it.call }.filter { now - it.progressAt > silenceLimit }.forEach { it.abort() }
        connections?.closeIdle(now)
    }

    /** The server was lost or started anew: nothing runs there any more. */
    fun onServerLost() {
        connections?.closeAllIdle()
        abandoned.toList().forEach(::removeAbandoned)
    }

    private fun removeAbandoned(abandonedRun: AbandonedRun) {
        if (abandoned.remove(abandonedRun)) check.onAbandonedRunEnded(abandonedRun.request)
    }

    private fun send(run: ServerRun, channel: Channel, configuration: ServiceConfiguration) {
        val now = ProcessClock.monotonic()
        val sendable = check.requestToSend(run.request, now)
        if (sendable == null) {
            connections?.release(channel)
            run.onEnd(WireEnd.NOT_SENT)
            return
        }
        val remaining = minOf(sendable.deadlineAt - now, configuration.limits.maximumExecutionMilliseconds)
        val call = "${run.request.id}"
        val message = ServerHeaders.request(sendable.incoming, server.address, sendable.location, call, remaining)
        context.metrics.recordRun(configuration.service.text)
        ServerCall(channel, message, ReleasingListener(run, channel)).also { run.call = it }.start()
    }

    /** Gives the connection back before the run is reported as ended, so that the next run finds it. */
    private inner class ReleasingListener(
        private val run: ServerRun,
        private val channel: Channel,
    ) : ServerCallListener by run {
        override fun onEnd(end: WireEnd) {
            if (end == WireEnd.WHOLE) connections?.release(channel)
            run.onEnd(end)
        }
    }
}
