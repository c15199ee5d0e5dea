/*
 * A few instances, backend servers and a table under true time, with a bag of messages that may be late, lost or
 * reordered, and an oracle that sees everything. Drives the real decision code; everything else is as small as
 * it can be.
 */
package rhubarbspool.control

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ConfigurationWriter
import rhubarbspool.configuration.Limits
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.lease.LeaseTimes
import rhubarbspool.lease.Question
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.DrainBody
import rhubarbspool.table.DrainKind
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write
import rhubarbspool.table.versionsIn
import java.util.PriorityQueue
import kotlin.random.Random

/** A broken invariant. */
internal class Violation(message: String) : RuntimeException(message)

/** Something that goes wrong or is ordered at [at] milliseconds of true time. */
internal data class Fault(val at: Long, val kind: FaultKind, val target: Int, val other: Int, val lasts: Long)

internal enum class FaultKind {
    CUT_PEERS, CUT_ONE_WAY, CUT_DOMAIN, CUT_TABLE, TABLE_OUTAGE, TABLE_SLOW, LOSE_REPLIES, PAUSE_CONTROLLER, PAUSE_ROUTER,
    PAUSE_INSTANCE, KILL_INSTANCE, RESTART_CONTROLLER, RESTART_ROUTER, LEAVE, DRAIN_SERVER, DRAIN_INSTANCE, DRAIN_DOMAIN,
    CONFIGURE, SERVER_DOWN, HOT_KEY,
}

internal class ControlWorld(seed: Long, private val faults: List<Fault>) {
    private data class Event(val at: Long, val sequence: Long, val action: () -> Unit)

    /** Work that a router sent to a server: it runs until [until]. */
    private data class Work(val shard: String, val server: ServerName, val until: Long)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L
    private var time = 0L
    private val table = FakeTable()
    private val objects = HashMap<String, String>()
    private val work = ArrayList<Work>()
    private val cutPairs = HashMap<Pair<Int, Int>, Long>()
    private val cutFromTable = HashMap<Int, Long>()
    private var tableOutUntil = 0L
    private var tableSlowUntil = 0L
    private var loseRepliesUntil = 0L
    private val serverDownUntil = HashMap<ServerName, Long>()
    private val drainedSince = HashMap<ServerName, Long>()
    private val acknowledged = HashMap<ServiceName, Long>()
    private val hotKeys = HashMap<ServerName, Long>()
    private val instances = List(INSTANCES) { Instance(it) }

    /** Sends that the oracle judged. */
    var sends = 0L
        private set

    fun run() {
        SERVICES.forEach { configure(it) }
        instances.forEach { it.start() }
        faults.forEach { fault -> schedule(fault.at) { apply(fault) } }
        runUntil(FAULTY_MILLISECONDS)
        heal()
        runUntil(FAULTY_MILLISECONDS + HEALING_MILLISECONDS)
        checkHealed()
    }

    private fun schedule(at: Long, action: () -> Unit) {
        events += Event(at, ++sequence, action)
    }

    private fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            time = event.at
            event.action()
        }
        time = end
    }

    private inner class Instance(val number: Int) {
        val identity = Identity(
            InstanceName("entry-$number"),
            FailureDomainName("domain-${number % DOMAINS}"),
            Address("127.0.0.1", 6_000 + number),
            Address("127.0.0.1", 7_000 + number),
        )
        private val clockRate = 1.0 + random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT)
        private val clockOffset = random.nextLong(1_000_000)
        private var incarnation = 0
        private var routerIncarnation = 0
        private val configurationSeen = HashMap<ServiceName, Long>()
        var node: ControlNode? = null
        var router: Router? = null
        var controllerPausedUntil = 0L
        var routerPausedUntil = 0L

        fun now() = Now((time * clockRate).toLong() + clockOffset, time)

        fun start() {
            startController()
            startRouter()
        }

        fun startController() {
            val mine = ++incarnation
            val started = ControlNode(identity, LeaseTimes(), Random(random.nextLong()))
            node = started
            configurationSeen.clear()
            loop(mine) { tick(started) }
        }

        fun startRouter() {
            val mine = ++routerIncarnation
            router = Router(this).also { started ->
                fun poll() {
                    if (mine != routerIncarnation) return
                    val wake = maxOf(time, routerPausedUntil)
                    if (wake > time) return schedule(wake) { poll() }
                    started.poll()
                    started.work()
                    schedule(time + random.nextLong(30, 60)) { poll() }
                }
                poll()
            }
        }

        fun kill() {
            incarnation++
            routerIncarnation++
            node = null
            router = null
        }

        fun killRouter() {
            routerIncarnation++
            router = null
        }

        /** Runs [action] in this controller when it is neither paused nor replaced meanwhile. */
        fun deliver(target: ControlNode?, action: (ControlNode) -> Unit) {
            if (target == null || target !== node) return
            if (controllerPausedUntil > time) return schedule(controllerPausedUntil) { deliver(target, action) }
            action(target)
        }

        private fun loop(mine: Int, action: () -> Unit) {
            if (mine != incarnation) return
            if (controllerPausedUntil > time) return schedule(controllerPausedUntil) { loop(mine, action) }
            action()
            schedule(time + random.nextLong(15, 30)) { loop(mine, action) }
        }

        private fun tick(started: ControlNode) {
            started.tick(now()).forEach { carryOut(this, started, it) }
            started.state.configurations.forEach { (service, inForce) ->
                val before = configurationSeen.put(service, inForce.number) ?: 0
                if (inForce.number < before) throw Violation("configuration of $service fell on ${identity.instance}")
            }
        }
    }

    /** The router of an instance, as far as leases and releases go. */
    private inner class Router(private val instance: Instance) {
        private var orders = Orders(emptyList(), emptyList())
        private var askedAt = 0L
        private val acquired = HashMap<ServerName, Long>()
        private var complete = 0L
        private var regain = HashMap<String, Long>()
        private val mine = ArrayList<Work>()

        fun poll() {
            val node = instance.node ?: return
            val asked = instance.now().monotonic
            val news = news()
            schedule(time + random.nextLong(0, 20)) {
                instance.deliver(node) { target ->
                    target.router.report(news, instance.now())
                    val answer = target.router.orders(instance.now())
                    val revision = target.state.completeRevision
                    val shards = answer.gates.flatMap { target.state.rows.shardsOf(it.server) }
                        .associate { it.key to it.version }
                    schedule(time + random.nextLong(0, 20)) { take(answer, asked, revision, shards) }
                }
            }
        }

        private fun take(answer: Orders, asked: Long, revision: Long, shards: Map<String, Long>) {
            if (instance.router !== this || asked < askedAt) return
            answer.gates.filter { gate -> orders.gates.none { it.server == gate.server && it.epoch == gate.epoch } }
                .forEach { acquired[it.server] = time }
            orders = answer
            askedAt = asked
            complete = revision
            regain = HashMap(shards)
        }

        private fun holds(gate: GateOrder): Boolean =
            gate.releaseOrder == 0L && instance.now().monotonic < askedAt + gate.remainingMilliseconds

        private fun news(): RouterNews {
            mine.removeAll { it.until <= time }
            val releasedGates = orders.gates.filter { it.releaseOrder != 0L && mine.none { w -> w.server == it.server } }
            val releasedShards = orders.releases.filter { release ->
                mine.none { it.shard == release.subject || release.subject.endsWith("/key/hot") } &&
                    orders.gates.all { time - (acquired[it.server] ?: 0) > EXECUTION_MILLISECONDS }
            }
            val reachable = orders.gates.associate { it.server to ((serverDownUntil[it.server] ?: 0) <= time) }
            val hot = orders.gates.filter { (hotKeys[it.server] ?: 0) > time }.map { gate ->
                HotKey(ServiceName("hold"), "hot", gate.server)
            }
            return RouterNews(
                releasedGates.map { ReleaseOrder(it.server.text, it.releaseOrder) },
                releasedShards,
                reachable,
                hotKeys = hot,
            )
        }

        /** Sends a request for each shard that this router believes it may serve. */
        fun work() {
            orders.gates.filter(::holds).forEach { gate ->
                val released = orders.releases.map { it.subject }.toSet()
                regain.filter { (shard, version) -> shard !in released && version <= complete && owner(shard) == gate.server }
                    .keys.forEach { send(it, gate) }
            }
        }

        private fun owner(shard: String): ServerName? = ownerInView[shard]

        private val ownerInView: Map<String, ServerName>
            get() = instance.node?.state?.rows?.let { rows ->
                orders.gates.flatMap { gate -> rows.shardsOf(gate.server).map { it.key to gate.server } }.toMap()
            } ?: emptyMap()

        private fun send(shard: String, gate: GateOrder) {
            judge(shard, gate)
            val sent = Work(shard, gate.server, time + random.nextLong(1, EXECUTION_MILLISECONDS))
            work += sent
            mine += sent
            sends++
        }

        fun mayServe(server: ServerName, shard: String): Boolean = orders.gates.any { it.server == server && holds(it) } &&
            orders.releases.none { it.subject == shard } && (regain[shard] ?: Long.MAX_VALUE) <= complete && owner(shard) == server

        fun mayUse(server: ServerName): Boolean = orders.gates.any { it.server == server && holds(it) }

        private fun judge(shard: String, gate: GateOrder) {
            val senders = instances.filter { it.routerPausedUntil <= time && it.router?.mayUse(gate.server) == true }
            if (senders.size > 1) {
                throw Violation("$time: ${senders.map { it.identity.instance }} may both send to ${gate.server}")
            }
            work.removeAll { it.until <= time }
            work.firstOrNull { it.shard == shard && it.server != gate.server }?.let {
                throw Violation("$time: $shard is served by ${gate.server} while ${it.server} still runs work for it")
            }
            val drained = drainedSince[gate.server]
            if (drained != null && time - drained > DRAIN_MILLISECONDS) {
                throw Violation("$time: ${gate.server} gets work ${time - drained} ms after it was drained")
            }
        }
    }

    private fun carryOut(from: Instance, node: ControlNode, effect: ControlEffect) {
        when (effect) {
            is ControlEffect.AskPromise -> askPromise(from, node, effect)
            is ControlEffect.Commit -> commit(from, node, effect)
            is ControlEffect.Scan -> scan(from, node, effect)
            is ControlEffect.Push -> toPeer(from, effect.peer) { peer, _ -> peer.onRows(effect.rows) }
            is ControlEffect.Exchange -> toPeer(from, effect.peer) { peer, instance ->
                val differing = peer.state.rows.digest.values.indices.filter { peer.state.rows.digest.values[it] != effect.digest[it] }
                val rows = differing.flatMap {
                    peer.state.rows.versionsIn(
                        it
                    )
                }.mapNotNull { peer.state.rows.row(it.key) }
                reply(instance, from, node) { it.onRows(rows) }
            }

            is ControlEffect.FetchObject -> viaTable(from) {
                val text = objects[effect.hash]
                backFromTable(from, node) { target -> text?.let { target.onObject(effect.hash, it) } }
            }
        }
    }

    private fun askPromise(from: Instance, node: ControlNode, ask: ControlEffect.AskPromise) {
        val question = Question(from.identity.instance, ask.generation, ask.scope, ask.sentAt, ask.unrecordedRuns)
        toPeer(from, ask.successor.instance) { peer, instance ->
            if (peer.onPromiseRequest(question, ask.successor.generation, instance.now())) {
                reply(instance, from, node) { it.onPromise(ask) }
            }
        }
    }

    private fun toPeer(from: Instance, to: InstanceName, action: (ControlNode, Instance) -> Unit) {
        val target = instances.first { it.identity.instance == to }
        if (isCut(from, target) || random.nextInt(100) < 2) return
        schedule(time + delay()) { target.deliver(target.node) { action(it, target) } }
    }

    private fun reply(from: Instance, to: Instance, node: ControlNode, action: (ControlNode) -> Unit) {
        if (isCut(from, to)) return
        schedule(time + delay()) { to.deliver(node, action) }
    }

    private fun commit(from: Instance, node: ControlNode, effect: ControlEffect.Commit) = viaTable(from) {
        val result = table.commit(effect.transaction)
        val lost = time < loseRepliesUntil && random.nextBoolean()
        backFromTable(from, node) { target ->
            val answer = if (lost) CommitResult.Unknown else result
            target.onCommit(effect.purpose, effect.transaction.writeId, answer, from.now())
        }
    }

    private fun scan(from: Instance, node: ControlNode, effect: ControlEffect.Scan) = viaTable(from) {
        val rows = table.scan(effect.after)
        val revision = table.revision
        backFromTable(from, node) { it.onScan(effect.after, rows, revision, from.now()) }
    }

    private fun viaTable(from: Instance, action: () -> Unit) {
        if (tableOutUntil > time || (cutFromTable[from.number] ?: 0) > time) return
        val slow = if (tableSlowUntil > time) random.nextLong(0, 3_000) else random.nextLong(1, 15)
        schedule(time + slow) { if (tableOutUntil <= time) action() }
    }

    private fun backFromTable(to: Instance, node: ControlNode, action: (ControlNode) -> Unit) {
        if ((cutFromTable[to.number] ?: 0) > time) return
        val slow = if (tableSlowUntil > time) random.nextLong(0, 3_000) else random.nextLong(1, 15)
        schedule(time + slow) { to.deliver(node, action) }
    }

    private fun isCut(from: Instance, to: Instance) = (cutPairs[from.number to to.number] ?: 0) > time

    private fun delay(): Long = if (random.nextInt(50) == 0) random.nextLong(0, 2_000) else random.nextLong(1, 8)

    private fun apply(fault: Fault) {
        val instance = instances[fault.target % INSTANCES]
        val other = instances[fault.other % INSTANCES]
        val until = time + fault.lasts
        when (fault.kind) {
            FaultKind.CUT_PEERS -> listOf(
                instance to other,
                other to instance
            ).forEach { cut(it.first, it.second, until) }
            FaultKind.CUT_ONE_WAY -> cut(instance, other, until)
            FaultKind.CUT_DOMAIN -> cutDomain(instance, until, withTable = fault.other % 2 == 0)
            FaultKind.CUT_TABLE -> cutFromTable[instance.number] = until
            FaultKind.TABLE_OUTAGE -> tableOutUntil = until
            FaultKind.TABLE_SLOW -> tableSlowUntil = until
            FaultKind.LOSE_REPLIES -> loseRepliesUntil = until
            FaultKind.PAUSE_CONTROLLER -> instance.controllerPausedUntil = until
            FaultKind.PAUSE_ROUTER -> instance.routerPausedUntil = until
            FaultKind.PAUSE_INSTANCE -> {
                instance.controllerPausedUntil = until
                instance.routerPausedUntil = until
            }

            FaultKind.KILL_INSTANCE -> {
                instance.kill()
                schedule(until) { if (instance.node == null) instance.start() }
            }

            FaultKind.RESTART_CONTROLLER -> if (instance.node != null) instance.startController()
            FaultKind.RESTART_ROUTER -> if (instance.node != null) {
                instance.killRouter()
                schedule(until) { if (instance.node != null && instance.router == null) instance.startRouter() }
            }

            FaultKind.LEAVE -> {
                instance.node?.leave()
                schedule(until + 3_000) {
                    instance.kill()
                    instance.start()
                }
            }

            FaultKind.DRAIN_SERVER -> drain(DrainKind.SERVER, server(fault), until)
            FaultKind.DRAIN_INSTANCE -> drain(DrainKind.INSTANCE, instance.identity.instance.text, until)
            FaultKind.DRAIN_DOMAIN -> drain(DrainKind.DOMAIN, instance.identity.domain.text, until)
            FaultKind.CONFIGURE -> configure(SERVICES[fault.target % SERVICES.size])
            FaultKind.SERVER_DOWN -> serverDownUntil[ServerName(server(fault))] = until
            FaultKind.HOT_KEY -> hotKeys[ServerName(server(fault))] = until
        }
    }

    private fun server(fault: Fault) = SERVERS[fault.target % SERVERS.size]

    private fun cut(from: Instance, to: Instance, until: Long) {
        cutPairs[from.number to to.number] = until
    }

    private fun cutDomain(instance: Instance, until: Long, withTable: Boolean) {
        val (inside, outside) = instances.partition { it.identity.domain == instance.identity.domain }
        inside.forEach { near ->
            outside.forEach { far ->
                cut(near, far, until)
                cut(far, near, until)
            }
            if (withTable) cutFromTable[near.number] = until
        }
    }

    private fun drain(kind: DrainKind, name: String, until: Long) {
        order(DrainBody(kind, name, draining = true, author = "operator"))
        schedule(until) { order(DrainBody(kind, name, draining = false, author = "operator")) }
    }

    /** Writes as an operator does; a drain of servers is judged only while nothing else keeps shards from moving. */
    private fun order(body: DrainBody) {
        val key = RowKeys.drain(body.kind, body.name)
        table.commit(
            Transaction("operator-${++sequence}", listOf(Condition(key, table.version(key))), listOf(Write(key, body))),
        )
    }

    private fun configure(service: ServiceConfiguration) {
        val key = RowKeys.configuration(service.service)
        val number = (acknowledged[service.service] ?: 0) + 1
        val text = ConfigurationWriter.write(service.copy(repeatWindowMilliseconds = 60_000 + number))
        val hash = "${service.service}-$number"
        objects[hash] = text
        val body = ConfigurationBody(service.service, number, hash, "operator")
        val result = table.commit(
            Transaction("operator-${++sequence}", listOf(Condition(key, table.version(key))), listOf(Write(key, body))),
        )
        if (result is CommitResult.Committed) acknowledged[service.service] = number
    }

    private fun heal() {
        cutPairs.clear()
        cutFromTable.clear()
        tableOutUntil = 0
        tableSlowUntil = 0
        loseRepliesUntil = 0
        serverDownUntil.clear()
        drainedSince.clear()
        hotKeys.clear()
        instances.forEach { instance ->
            instance.controllerPausedUntil = minOf(instance.controllerPausedUntil, time)
            instance.routerPausedUntil = minOf(instance.routerPausedUntil, time)
            if (instance.node == null) instance.start()
            if (instance.router == null) instance.startRouter()
        }
        DrainKind.entries.forEach { kind ->
            val names = SERVERS + instances.flatMap { listOf(it.identity.instance.text, it.identity.domain.text) }
            names.filter { (table.row(RowKeys.drain(kind, it))?.body as? DrainBody)?.draining == true }
                .forEach { order(DrainBody(kind, it, draining = false, author = "operator")) }
        }
    }

    private fun checkHealed() {
        SERVERS.map(::ServerName).forEach { server ->
            val users = instances.filter { it.router?.mayUse(server) == true }
            if (users.size != 1) throw Violation("healed, yet ${users.size} instances may use $server")
        }
        SERVICES.forEach { service ->
            (0 until service.shards).map { RowKeys.shard(service.service, it) }.forEach { shard ->
                val servers = instances.sumOf { i -> service.servers.count { i.router?.mayServe(it.name, shard) == true } }
                if (servers != 1) throw Violation("healed, yet $servers servers serve $shard")
            }
            instances.forEach { instance ->
                val number = instance.node?.state?.configurations?.get(service.service)?.number
                if (number != acknowledged[service.service]) {
                    throw Violation("healed, yet ${instance.identity.instance} applies $number of ${service.service}")
                }
            }
        }
    }

    /** Judges drains from now on: nothing but the drain is going wrong. */
    fun judgeDrain(servers: List<String>, at: Long) = schedule(at) {
        servers.forEach { drainedSince[ServerName(it)] = at }
    }

    companion object {
        const val INSTANCES = 6
        const val DOMAINS = 2
        const val FAULTY_MILLISECONDS = 20_000L
        const val HEALING_MILLISECONDS = 12_000L
        const val DRAIN_MILLISECONDS = 3_000L
        private const val EXECUTION_MILLISECONDS = 250L
        private const val CLOCK_DRIFT = 0.02

        val SERVICES = listOf(service("hold", 4, null), service("move", 2, 3_000))
        val SERVERS = SERVICES.flatMap { it.servers }.map { it.name.text }

        private fun service(name: String, servers: Int, moveAfter: Long?) = ServiceConfiguration(
            ServiceName(name),
            shards = 8,
            routes = listOf(Route("read", "GET", "/{key}", deadlineMilliseconds = 200)),
            servers = List(servers) {
                BackendServer(
                    ServerName("$name-$it"),
                    Address("127.0.0.1", 100 + it),
                    FailureDomainName("domain-${it % DOMAINS}")
                )
            },
            moveAfterMilliseconds = moveAfter,
            limits = Limits(maximumExecutionMilliseconds = EXECUTION_MILLISECONDS),
        )
    }
}
