/*
 * An instance of the controller simulation: a controller and a router on one machine with its own drifting clock.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseTimes
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import kotlin.random.Random

internal class TestInstance(val number: Int, private val simulation: ControlSimulation) {
    private val network = simulation.network
    private val clockRate = 1.0 + network.random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT)
    private val clockOffset = network.random.nextLong(1_000_000)
    private val appliedNumbers = HashMap<ServiceName, Long>()
    private var incarnation = 0
    private var routerIncarnation = 0

    val identity = Identity(
        InstanceName("entry-$number"),
        FailureDomainName("domain-${number % TestServices.DOMAINS}"),
        Address("127.0.0.1", 6_000 + number),
        Address("127.0.0.1", 7_000 + number),
    )
    var node: ControlNode? = null
        private set
    var router: TestRouter? = null
        private set
    var controllerPausedUntil = 0L
    var routerPausedUntil = 0L

    fun now() = Now((network.time * clockRate).toLong() + clockOffset, network.time)

    fun start() {
        startController()
        startRouter()
    }

    fun startController() {
        val ownIncarnation = ++incarnation
        val started = ControlNode(identity, LeaseTimes(), Random(network.random.nextLong()))
        node = started
        appliedNumbers.clear()
        runPeriodically({ ownIncarnation == incarnation }, { controllerPausedUntil }, 15L..30L) { tick(started) }
    }

    fun startRouter() {
        val ownIncarnation = ++routerIncarnation
        val started = TestRouter(this, simulation)
        router = started
        runPeriodically({ ownIncarnation == routerIncarnation }, { routerPausedUntil }, 30L..60L) {
            started.poll()
            started.sendRequests()
        }
    }

    fun kill() {
        incarnation++
        node = null
        killRouter()
    }

    fun killRouter() {
        routerIncarnation++
        router = null
    }

    /** Runs [action] on the controller [target] unless it was replaced; delays it while the controller is paused. */
    fun deliver(target: ControlNode?, action: (ControlNode) -> Unit) {
        if (target == null || target !== node) return
        if (controllerPausedUntil > network.time) {
            network.schedule(controllerPausedUntil) { deliver(target, action) }
        } else {
            action(target)
        }
    }

    private fun runPeriodically(
        isCurrent: () -> Boolean,
        pausedUntil: () -> Long,
        interval: LongRange,
        action: () -> Unit,
    ) {
        if (!isCurrent()) return
        val paused = pausedUntil() > network.time
        if (!paused) action()
        val next = if (paused) pausedUntil() else network.time + interval.random(network.random)
        network.schedule(next) { runPeriodically(isCurrent, pausedUntil, interval, action) }
    }

    private fun tick(started: ControlNode) {
        started.tick(now()).forEach { simulation.execute(this, started, it) }
        started.state.configurations.forEach { (service, inForce) ->
            val last = appliedNumbers.put(service, inForce.number) ?: 0
            if (inForce.number < last) throw InvariantViolation("$service: older configuration on ${identity.instance}")
        }
    }

    private companion object {
        const val CLOCK_DRIFT = 0.02
    }
}
