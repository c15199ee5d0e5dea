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
internal class Sendable(val incoming: IncomingRequest, val location: KeyLocation, val deadlineAt: Long)

/** Decides right before a send; implemented by the gate. */
internal interface SendCheck {
    /** What to send for the call of [request] at [now]; null when nothing may be sent any more. */
    fun sendable(request: GateRequest, now: Long): Sendable?

    /** Work that was given up has certainly ended; [request] is null for work of an earlier gate. */
    fun settled(request: GateRequest?)
}

/** Work of one gate at [server]. Used on one event loop. */
internal class GateWork(
    private val context: RouterContext,
    private val server: BackendServer,
    private val watch: ServerWatch,
    private val check: SendCheck,
) {
    /** Work that was given up and that the server may still be at; [request] is null for work of an earlier gate. */
    private class Lingering(val request: GateRequest?, val until: Long)

    private val runs = HashMap<Long, ServerRun>()
    private val lingering = ArrayList<Lingering>()
    private var connections: ServerConnections? = null

    /** Whether nothing can still run. */
    val isEmpty: Boolean get() = runs.isEmpty() && lingering.isEmpty()

    /** Whether runs are under way. */
    val isRunning: Boolean get() = runs.isNotEmpty()

    operator fun get(call: Long): ServerRun? = runs[call]

    /** Whether nothing that [matches] can still run; work of an earlier gate matches everything. */
    fun isSettled(matches: (GateRequest) -> Boolean): Boolean =
        runs.values.none { matches(it.request) } && lingering.none { it.request == null || matches(it.request) }

    /** Sends [run] over a connection to the server. */
    fun start(run: ServerRun, configuration: ServiceConfiguration) {
        runs[run.request.id] = run
        val maximum = configuration.limits.connections
        val pool = connections
            ?: ServerConnections(context.loop, server.address, maximum).also { connections = it }
        pool.acquire { acquired ->
            acquired.fold({ send(run, it, configuration) }, {
                watch.probe(ProcessClock.monotonic())
                run.end(WireEnd.NOT_SENT)
            })
        }
    }

    /** The run of [call] has ended. */
    fun remove(call: Long) {
        runs.remove(call)
    }

    /** The server may still work on [run], which was given up at [now]. */
    fun linger(run: ServerRun, configuration: ServiceConfiguration, now: Long) {
        val longest = configuration.limits.maximumExecutionMilliseconds
        val until = if (server.checksGrants) maxOf(now, watch.grantEndsAt) else run.sentAt + longest
        val entry = Lingering(run.request, until)
        lingering += entry
        watch.cancel("${run.request.id}") { settle(entry) }
    }

    /** An earlier gate may have sent work that runs until [until]. */
    fun inherit(until: Long) {
        lingering += Lingering(null, until)
    }

    /** Lets time pass: settles what must have ended and gives up connections that went silent. */
    fun tick(configuration: ServiceConfiguration, now: Long) {
        lingering.filter { it.until <= now }.forEach(::settle)
        val silence = configuration.limits.silenceMilliseconds
        runs.values.mapNotNull { it.call }.filter { now - it.progressAt > silence }.forEach { it.giveUp() }
        connections?.closeIdle(now)
    }

    /** The server was lost or started anew: nothing runs there any more. */
    fun serverLost() {
        connections?.forgetIdle()
        lingering.toList().forEach(::settle)
    }

    private fun settle(entry: Lingering) {
        if (lingering.remove(entry)) check.settled(entry.request)
    }

    private fun send(run: ServerRun, channel: Channel, configuration: ServiceConfiguration) {
        val now = ProcessClock.monotonic()
        val sendable = check.sendable(run.request, now)
        if (sendable == null) {
            connections?.release(channel)
            run.end(WireEnd.NOT_SENT)
            return
        }
        val remaining = minOf(sendable.deadlineAt - now, configuration.limits.maximumExecutionMilliseconds)
        val call = "${run.request.id}"
        val message = ServerHeaders.request(sendable.incoming, server.address, sendable.location, call, remaining)
        context.metrics.ran(configuration.service.text)
        ServerCall(channel, message, Releasing(run, channel)).also { run.call = it }.start()
    }

    /** Gives the connection back before the run is reported as ended, so that the next run finds it. */
    private inner class Releasing(
        private val run: ServerRun,
        private val channel: Channel,
    ) : ServerCallListener by run {
        override fun end(end: WireEnd) {
            if (end == WireEnd.WHOLE) connections?.release(channel)
            run.end(end)
        }
    }
}
