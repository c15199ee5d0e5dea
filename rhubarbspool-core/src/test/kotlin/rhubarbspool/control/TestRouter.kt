/*
 * The router of a simulated instance, reduced to leases and releases: it follows its orders, sends requests for every
 * shard that it believes it may serve, and reports what it released.
 */
package rhubarbspool.control

import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

internal class TestRouter(private val instance: TestInstance, private val simulation: ControlSimulation) {
    /** A shard according to the controller's rows. */
    private data class KnownShard(val key: String, val server: ServerName, val version: Long)

    private val network = simulation.network
    private val acquiredAt = HashMap<ServerName, Long>()
    private val requests = ArrayList<TestRequest>()
    private var orders = Orders(emptyList(), emptyList())
    private var shards = emptyList<KnownShard>()
    private var completeRevision = 0L
    private var ordersFrom = Long.MIN_VALUE

    /** Reports to the controller and requests orders. */
    fun poll() {
        val node = instance.node ?: return
        val polledAt = instance.now().monotonic
        val status = status()
        network.schedule(network.time + network.random.nextLong(0, 20)) {
            instance.deliver(node) { target -> onPoll(target, status, polledAt) }
        }
    }

    /** Sends a request for each shard that this router believes it may serve. */
    fun sendRequests() = shards.filter { maySend(it) }.forEach { shard ->
        val until = network.time + network.random.nextLong(1, TestServices.EXECUTION_MILLISECONDS)
        val sent = TestRequest(shard.key, shard.server, until)
        simulation.oracle.checkSend(sent, network.time)
        requests += sent
    }

    /** Whether this router believes that it may send to [server]. */
    fun mayUse(server: ServerName): Boolean = orders.gates.any { it.server == server && isUsable(it) }

    /** Whether this router believes that [server] owns the shard under [key] and that it may send to it. */
    fun mayServe(server: ServerName, key: String): Boolean =
        shards.any { it.key == key && it.server == server && maySend(it) }

    private fun onPoll(target: ControlNode, status: RouterStatus, polledAt: Long) {
        target.router.report(status, instance.now())
        val newOrders = target.router.orders(instance.now())
        val revision = target.state.completeRevision
        val known = newOrders.gates.flatMap { target.state.rows.shardsOf(it.server) }
            .map { KnownShard(it.key, it.shard.server, it.version) }
        network.schedule(network.time + network.random.nextLong(0, 20)) {
            if (instance.router === this && polledAt > ordersFrom) applyOrders(newOrders, polledAt, revision, known)
        }
    }

    private fun applyOrders(newOrders: Orders, polledAt: Long, revision: Long, known: List<KnownShard>) {
        newOrders.gates.filter { gate -> orders.gates.none { it.server == gate.server && it.epoch == gate.epoch } }
            .forEach { acquiredAt[it.server] = network.time }
        orders = newOrders
        ordersFrom = polledAt
        completeRevision = revision
        shards = known
    }

    private fun isUsable(gate: GateOrder): Boolean =
        gate.releaseOrder == 0L && instance.now().monotonic < ordersFrom + gate.remainingMilliseconds

    private fun maySend(shard: KnownShard): Boolean =
        mayUse(shard.server) && shard.version <= completeRevision && orders.releases.none { it.subject == shard.key }

    private fun status(): RouterStatus {
        requests.removeAll { it.until <= network.time }
        return RouterStatus(
            orders.gates.filter { gate -> gate.releaseOrder != 0L && requests.none { it.server == gate.server } }
                .map { ReleaseOrder(it.server.text, it.releaseOrder) },
            orders.releases.filter { isReleased(it) },
            orders.gates.associate { it.server to simulation.isUp(it.server) },
            hotKeys = orders.gates.filter { simulation.isHot(it.server) }
                .map { HotKey(HOT_SERVICE, HOT_KEY, it.server) },
        )
    }

    /** Whether no request of this router or of an earlier holder of the gate can still run for the shard. */
    private fun isReleased(release: ReleaseOrder): Boolean {
        val inherited = orders.gates.any { gate ->
            network.time - (acquiredAt[gate.server] ?: 0) <= TestServices.EXECUTION_MILLISECONDS
        }
        return !inherited && requests.none { it.shard == release.subject }
    }

    private companion object {
        const val HOT_KEY = "hot"
        val HOT_SERVICE = ServiceName("hold")
    }
}
