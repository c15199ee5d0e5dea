/*
 * Checks invariants on the state of all instances in simulated time.
 */
package rhubarbspool.control

import rhubarbspool.model.ServerName

/** A request that a router sent to a server; it runs until [until] milliseconds of simulated time. */
internal data class TestRequest(val shard: String, val server: ServerName, val until: Long)

internal class Oracle(private val instances: () -> List<TestInstance>) {
    private val running = ArrayList<TestRequest>()
    private val drainedSince = HashMap<ServerName, Long>()

    /** Number of requests checked so far. */
    var sends = 0L
        private set

    /** Records that an operator drained [servers] at [time]. */
    fun onDrained(servers: Collection<ServerName>, time: Long) = servers.forEach { drainedSince[it] = time }

    /** Stops checking drains. */
    fun clearDrains() = drainedSince.clear()

    /** Checks that [sent] may be sent at [time]; throws if it breaks an invariant. */
    fun checkSend(sent: TestRequest, time: Long) {
        sends++
        running.removeAll { it.until <= time }
        val violation = senderViolation(sent, time) ?: ownerViolation(sent) ?: drainViolation(sent, time)
        if (violation != null) throw InvariantViolation("$time: $violation")
        running += sent
    }

    private fun senderViolation(sent: TestRequest, time: Long): String? {
        val senders = instances().filter { it.routerPausedUntil <= time && it.router?.mayUse(sent.server) == true }
        return if (senders.size > 1) "${senders.map { it.identity.instance }} may all send to ${sent.server}" else null
    }

    private fun ownerViolation(sent: TestRequest): String? =
        running.firstOrNull { it.shard == sent.shard && it.server != sent.server }
            ?.let { "${sent.shard} is served by ${sent.server} while a request for it still runs on ${it.server}" }

    private fun drainViolation(sent: TestRequest, time: Long): String? {
        val since = drainedSince[sent.server]?.takeIf { time - it > DRAIN_MILLISECONDS } ?: return null
        return "${sent.server} receives a request ${time - since} ms after it was drained"
    }

    private companion object {
        const val DRAIN_MILLISECONDS = 3_000L
    }
}
