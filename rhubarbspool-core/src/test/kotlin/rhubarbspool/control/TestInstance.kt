/*
 * An instance of the control fuzzer: a controller and a router on one machine with a clock of its own.
 */
package rhubarbspool.control

import rhubarbspool.lease.LeaseTimes
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServiceName
import kotlin.random.Random

internal class TestInstance(val number: Int, private val world: ControlWorld) {
    private val network = world.network
    private val clockRate = 1.0 + network.random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT)
    private val clockOffset = network.random.nextLong(1_000_000)
    private val configurationSeen = HashMap<ServiceName, Long>()
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
        val mine = ++incarnation
        val started = ControlNode(identity, LeaseTimes(), Random(network.random.nextLong()))
        node = started
        configurationSeen.clear()
        loop({ mine == incarnation }, { controllerPausedUntil }, 15L..30L) { tick(started) }
    }

    fun startRouter() {
        val mine = ++routerIncarnation
        val started = TestRouter(this, world)
        router = started
        loop({ mine == routerIncarnation }, { routerPausedUntil }, 30L..60L) {
            started.poll()
            started.work()
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

    /** Runs [action] in the controller [target], unless it was replaced; a paused one gets to it after its pause. */
    fun deliver(target: ControlNode?, action: (ControlNode) -> Unit) {
        if (target == null || target !== node) return
        if (controllerPausedUntil > network.time) {
            network.schedule(controllerPausedUntil) { deliver(target, action) }
        } else {
            action(target)
        }
    }

    private fun loop(alive: () -> Boolean, pausedUntil: () -> Long, every: LongRange, action: () -> Unit) {
        if (!alive()) return
        val paused = pausedUntil() > network.time
        if (!paused) action()
        val next = if (paused) pausedUntil() else network.time + every.random(network.random)
        network.schedule(next) { loop(alive, pausedUntil, every, action) }
    }

    private fun tick(started: ControlNode) {
        started.tick(now()).forEach { world.carryOut(this, started, it) }
        started.state.configurations.forEach { (service, inForce) ->
            val before = configurationSeen.put(service, inForce.number) ?: 0
            if (inForce.number < before) throw Violation("configuration of $service fell on ${identity.instance}")
        }
    }

    private companion object {
        const val CLOCK_DRIFT = 0.02
    }
}
