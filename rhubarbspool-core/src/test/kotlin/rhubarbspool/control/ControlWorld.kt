/*
 * A few instances, backend servers and a table under true time. Drives the real decision code of the control side;
 * everything around it is as small as it can be.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ConfigurationWriter
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.lease.PromiseQuery
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.Condition
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.DrainBody
import rhubarbspool.table.DrainKind
import rhubarbspool.table.RowBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.Transaction
import rhubarbspool.table.Write
import rhubarbspool.table.versionsIn
import kotlin.random.Random

internal class ControlWorld(seed: Long, private val faults: List<Fault>) {
    val network = TestNetwork(Random(seed))
    val oracle = Oracle { instances }
    private val objects = HashMap<String, String>()
    private val downUntil = HashMap<ServerName, Long>()
    private val hotUntil = HashMap<ServerName, Long>()
    private val accepted = HashMap<ServiceName, Long>()
    private val instances = List(INSTANCES) { TestInstance(it, this) }
    private val faultRunner = FaultRunner()
    private var orders = 0L

    /** Runs the faults, heals everything, and checks that everything is served again. */
    fun run() {
        TestServices.all.forEach(::configure)
        instances.forEach { it.start() }
        faults.forEach { fault -> network.schedule(fault.at) { faultRunner.apply(fault) } }
        network.runUntil(FAULTY_MILLISECONDS)
        heal()
        network.runUntil(FAULTY_MILLISECONDS + HEALING_MILLISECONDS)
        checkHealed()
    }

    fun isUp(server: ServerName): Boolean = (downUntil[server] ?: 0) <= network.time

    fun isHot(server: ServerName): Boolean = (hotUntil[server] ?: 0) > network.time

    /** Carries out what the controller [node] of [from] asks for. */
    fun carryOut(from: TestInstance, node: ControlNode, effect: ControlEffect) {
        when (effect) {
            is ControlEffect.AskPromise -> askPromise(from, node, effect)
            is ControlEffect.Commit -> commit(from, node, effect)
            is ControlEffect.Scan -> scan(from, node, effect)
            is ControlEffect.Push -> toPeer(from, effect.peer) { peer, _ -> peer.onRows(effect.rows) }
            is ControlEffect.Exchange -> exchange(from, node, effect)
            is ControlEffect.FetchObject -> network.toTable(from.number) {
                val text = objects.getValue(effect.hash)
                network.fromTable(from.number) { from.deliver(node) { it.onObject(effect.hash, text) } }
            }
        }
    }

    private fun askPromise(from: TestInstance, node: ControlNode, ask: ControlEffect.AskPromise) {
        val question = PromiseQuery(from.identity.instance, ask.generation, ask.scope, ask.sentAt, ask.unrecordedRuns)
        toPeer(from, ask.successor.instance) { peer, instance ->
            if (peer.onPromiseRequest(question, ask.successor.generation, instance.now())) {
                network.send(instance.number, from.number) { from.deliver(node) { it.onPromise(ask) } }
            }
        }
    }

    private fun exchange(from: TestInstance, node: ControlNode, effect: ControlEffect.Exchange) =
        toPeer(from, effect.peer) { peer, instance ->
            val mine = peer.state.rows.digest.values
            val rows = mine.indices.filter { mine[it] != effect.digest[it] }
                .flatMap { peer.state.rows.versionsIn(it) }.mapNotNull { peer.state.rows.row(it.key) }
            network.send(instance.number, from.number) { from.deliver(node) { it.onRows(rows) } }
        }

    private fun toPeer(from: TestInstance, to: InstanceName, action: (ControlNode, TestInstance) -> Unit) {
        val target = instances.first { it.identity.instance == to }
        network.send(from.number, target.number) { target.deliver(target.node) { action(it, target) } }
    }

    private fun commit(from: TestInstance, node: ControlNode, effect: ControlEffect.Commit) =
        network.toTable(from.number) {
            val result = network.table.commit(effect.transaction)
            val lost = network.time < network.loseRepliesUntil && network.random.nextBoolean()
            val answer = if (lost) CommitResult.Unknown else result
            network.fromTable(from.number) {
                from.deliver(node) { it.onCommit(effect.purpose, effect.transaction.writeId, answer, from.now()) }
            }
        }

    private fun scan(from: TestInstance, node: ControlNode, effect: ControlEffect.Scan) =
        network.toTable(from.number) {
            val rows = network.table.scan(effect.after)
            val revision = network.table.revision
            network.fromTable(from.number) {
                from.deliver(node) { it.onScan(effect.after, rows, revision, from.now()) }
            }
        }

    private fun order(kind: DrainKind, name: String, draining: Boolean) =
        write(RowKeys.drain(kind, name), DrainBody(kind, name, draining, "operator"))

    private fun configure(service: ServiceConfiguration) {
        val number = (accepted[service.service] ?: 0) + 1
        val hash = "${service.service}-$number"
        objects[hash] = ConfigurationWriter.write(service.copy(repeatWindowMilliseconds = 60_000 + number))
        write(RowKeys.configuration(service.service), ConfigurationBody(service.service, number, hash, "operator"))
        accepted[service.service] = number
    }

    /** Writes as an operator does, who is not cut off. */
    private fun write(key: String, body: RowBody) {
        val condition = Condition(key, network.table.version(key))
        network.table.commit(Transaction("operator-${++orders}", listOf(condition), listOf(Write(key, body))))
    }

    private fun heal() {
        network.heal()
        downUntil.clear()
        hotUntil.clear()
        oracle.undrained()
        instances.forEach { instance ->
            instance.controllerPausedUntil = minOf(instance.controllerPausedUntil, network.time)
            instance.routerPausedUntil = minOf(instance.routerPausedUntil, network.time)
            if (instance.node == null) instance.start()
            if (instance.router == null) instance.startRouter()
        }
        val names = TestServices.servers.map { it.name.text } +
            instances.flatMap { listOf(it.identity.instance.text, it.identity.domain.text) }
        DrainKind.entries.forEach { kind ->
            names.filter { (network.table.row(RowKeys.drain(kind, it))?.body as? DrainBody)?.draining == true }
                .forEach { order(kind, it, draining = false) }
        }
    }

    private fun checkHealed() {
        val faults = TestServices.servers.mapNotNull { gateFault(it.name) } +
            TestServices.all.flatMap { service -> shardFaults(service) + configurationFaults(service) }
        if (faults.isNotEmpty()) throw Violation("healed, yet ${faults.joinToString("; ")}")
    }

    private fun gateFault(server: ServerName): String? {
        val users = instances.count { it.router?.mayUse(server) == true }
        return if (users == 1) null else "$users instances may use $server"
    }

    private fun shardFaults(service: ServiceConfiguration): List<String> =
        (0 until service.shards).map { RowKeys.shard(service.service, it) }.mapNotNull { shard ->
            val owners = instances.sumOf { instance ->
                service.servers.count { instance.router?.mayServe(it.name, shard) == true }
            }
            if (owners == 1) null else "$owners servers serve $shard"
        }

    private fun configurationFaults(service: ServiceConfiguration): List<String> = instances.mapNotNull { instance ->
        val number = instance.node?.state?.configurations?.get(service.service)?.number
        if (number == accepted[service.service]) null else "${instance.number} applies $number of ${service.service}"
    }

    /** Makes faults happen. */
    private inner class FaultRunner {
        fun apply(fault: Fault) {
            val instance = instances[fault.target % INSTANCES]
            val until = network.time + fault.lasts
            when (fault.kind.area) {
                FaultArea.NETWORK -> cut(fault.kind, instance, instances[fault.other % INSTANCES], until)
                FaultArea.PLATFORM -> platform(fault.kind, instance, until)
                FaultArea.PROCESS -> process(fault.kind, instance, until)
                FaultArea.OPERATOR -> operate(fault, instance, until)
                FaultArea.SERVER -> serverOf(fault).let { if (fault.kind == FaultKind.HOT_KEY) hotUntil else downUntil }
                    .put(serverOf(fault), until)
            }
        }

        private fun serverOf(fault: Fault) = TestServices.servers[fault.target % TestServices.servers.size].name

        private fun cut(kind: FaultKind, instance: TestInstance, other: TestInstance, until: Long) {
            val (inside, outside) = instances.partition { it.identity.domain == instance.identity.domain }
            val pairs = when (kind) {
                FaultKind.CUT_ONE_WAY -> listOf(instance to other)
                FaultKind.CUT_PEERS -> listOf(instance to other, other to instance)
                else -> inside.flatMap { near -> outside.flatMap { far -> listOf(near to far, far to near) } }
            }
            pairs.forEach { (from, to) -> network.cut(from.number, to.number, until) }
            if (kind == FaultKind.CUT_DOMAIN_AND_TABLE) inside.forEach { network.cutFromTable(it.number, until) }
        }

        private fun platform(kind: FaultKind, instance: TestInstance, until: Long) = when (kind) {
            FaultKind.CUT_TABLE -> network.cutFromTable(instance.number, until)
            FaultKind.TABLE_OUTAGE -> network.tableOutUntil = until
            FaultKind.TABLE_SLOW -> network.tableSlowUntil = until
            else -> network.loseRepliesUntil = until
        }

        private fun process(kind: FaultKind, instance: TestInstance, until: Long) {
            when (kind) {
                FaultKind.PAUSE_CONTROLLER -> instance.controllerPausedUntil = until
                FaultKind.PAUSE_ROUTER -> instance.routerPausedUntil = until
                FaultKind.PAUSE_INSTANCE -> {
                    instance.controllerPausedUntil = until
                    instance.routerPausedUntil = until
                }

                FaultKind.RESTART_CONTROLLER -> if (instance.node != null) instance.startController()
                else -> stop(kind, instance, until)
            }
        }

        private fun stop(kind: FaultKind, instance: TestInstance, until: Long) {
            when (kind) {
                FaultKind.RESTART_ROUTER -> instance.killRouter()
                FaultKind.LEAVE -> instance.node?.leave()
                else -> instance.kill()
            }
            network.schedule(until) {
                if (kind == FaultKind.LEAVE) instance.kill()
                if (instance.node == null) instance.startController()
                if (instance.router == null) instance.startRouter()
            }
        }

        private fun operate(fault: Fault, instance: TestInstance, until: Long) = when (fault.kind) {
            FaultKind.DRAIN_SERVER -> drain(DrainKind.SERVER, serverOf(fault).text, until)
            FaultKind.DRAIN_INSTANCE -> drain(DrainKind.INSTANCE, instance.identity.instance.text, until)
            FaultKind.DRAIN_DOMAIN -> drain(DrainKind.DOMAIN, instance.identity.domain.text, until)
            else -> configure(TestServices.all[fault.target % TestServices.all.size])
        }

        private fun drain(kind: DrainKind, name: String, until: Long) {
            order(kind, name, draining = true)
            network.schedule(until) { order(kind, name, draining = false) }
        }
    }

    private companion object {
        const val INSTANCES = 8
        const val FAULTY_MILLISECONDS = 20_000L
        const val HEALING_MILLISECONDS = 12_000L
    }
}
