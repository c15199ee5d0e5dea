/*
 * Runs of one gate at its backend server: those with a connection, and abandoned ones that the server may still be
 * executing. The lease is checked again right before each send.
 */
package rhubarbspool.router

import io.netty.channel.Channel
import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.edge.ProcessClock
import rhubarbspool.gate.GateRequest
import rhubarbspool.routing.KeyLocation

/** A request that the lease allows to be sent now, and the location of its key. */
internal class SendableRequest(val incoming: IncomingRequest, val location: KeyLocation, val deadlineAt: Long)

/** Checks right before a send whether it is still allowed; implemented by the gate host. */
internal interface SendCheck {
    /** What to send for the call of [request] at [now]; null when nobody waits for it or the lease has expired. */
    fun requestToSend(request: GateRequest, now: Long): SendableRequest?

    /** An abandoned run can no longer execute; [request] is null for runs of an earlier gate. */
    fun onAbandonedRunEnded(request: GateRequest?)
}

/** Runs of one gate at [server]. Used on one event loop. */
internal class GateWork(
    private val context: RouterContext,
    private val server: BackendServer,
    private val watch: ServerWatch,
    private val check: SendCheck,
) {
    /** A run that may execute at the server until [until]; [request] is null for runs of an earlier gate. */
    private class AbandonedRun(val request: GateRequest?, val until: Long)

    private val runs = HashMap<Long, ServerRun>()
    private val abandoned = ArrayList<AbandonedRun>()
    private var connections: ServerConnections? = null

    /** Whether no run is in flight and no abandoned run can still execute. */
    val isEmpty: Boolean get() = runs.isEmpty() && abandoned.isEmpty()

    /** Whether runs are in flight. */
    val hasRuns: Boolean get() = runs.isNotEmpty()

    operator fun get(call: Long): ServerRun? = runs[call]

    /** Whether no run that [matches] can still execute; runs of an earlier gate count as matching. */
    fun hasEnded(matches: (GateRequest) -> Boolean): Boolean =
        runs.values.none { matches(it.request) } && abandoned.none { it.request == null || matches(it.request) }

    /** Sends [run] once a connection to the server is acquired; without one it ends as not sent. */
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

    /** Removes the run of [call], which has ended. */
    fun remove(call: Long) {
        runs.remove(call)
    }

    /**
     * Tracks [run], abandoned at [now], until it can no longer execute: until the server confirms its cancellation, or
     * its grants or its maximum execution time are over.
     */
    fun trackAbandoned(run: ServerRun, configuration: ServiceConfiguration, now: Long) {
        val maximumExecution = configuration.limits.maximumExecutionMilliseconds
        val until = if (server.checksGrants) maxOf(now, watch.latestGrantExpiresAt) else run.sentAt + maximumExecution
        val abandonedRun = AbandonedRun(run.request, until)
        abandoned += abandonedRun
        watch.cancel("${run.request.id}") { removeAbandoned(abandonedRun) }
    }

    /** Tracks runs of an earlier gate, which may execute until [until]. */
    fun trackInherited(until: Long) {
        abandoned += AbandonedRun(null, until)
    }

    /** Removes abandoned runs that must have ended by [now] and aborts calls that are silent for too long. */
    fun tick(configuration: ServiceConfiguration, now: Long) {
        abandoned.filter { it.until <= now }.forEach(::removeAbandoned)
        val silenceLimit = configuration.limits.silenceMilliseconds
        runs.values.mapNotNull { it.call }.filter { now - it.progressAt > silenceLimit }.forEach { it.abort() }
        connections?.closeIdle(now)
    }

    /** Discards idle connections and abandoned runs: the server crashed or restarted, so none can still execute. */
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

    /** Releases the connection before the run ends, so that the run dispatched next can reuse it. */
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
