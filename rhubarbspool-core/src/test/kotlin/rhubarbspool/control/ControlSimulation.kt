/*
 * Simulates instances, backend servers and a table under one simulated clock. The controllers run the real decision
 * logic; everything else is a minimal fake.
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

internal class ControlSimulation(seed: Long, private val faults: List<Fault>) {
    val network = TestNetwork(Random(seed))
    val oracle = Oracle { instances }
    private val objects = HashMap<String, String>()
    private val downUntil = HashMap<ServerName, Long>()
    private val hotUntil = HashMap<ServerName, Long>()
    private val accepted = HashMap<ServiceName, Long>()
    private val instances = List(INSTANCES) { TestInstance(it, this) }
    private val faultInjector = FaultInjector()
    private var operatorWrites = 0L

    /** Injects the faults, ends them all, and checks that every gate and shard is served again. */
    fun run() {
        TestServices.all.forEach(::acceptConfiguration)
        instances.forEach { it.start() }
        faults.forEach { fault -> network.schedule(fault.at) { faultInjector.apply(fault) } }
        network.runUntil(FAULT_PHASE_MILLISECONDS)
        heal()
        network.runUntil(FAULT_PHASE_MILLISECONDS + RECOVERY_MILLISECONDS)
        checkRecovered()
    }

    fun isUp(server: ServerName): Boolean = (downUntil[server] ?: 0) <= network.time

    fun isHot(server: ServerName): Boolean = (hotUntil[server] ?: 0) > network.time

    /** Executes an effect of the controller [node] of [from]. */
    fun execute(from: TestInstance, node: ControlNode, effect: ControlEffect) {
        when (effect) {
            is ControlEffect.RequestPromise -> requestPromise(from, node, effect)
            is ControlEffect.Commit -> commit(from, node, effect)
            is ControlEffect.Scan -> scan(from, node, effect)
            is ControlEffect.PushRows -> toPeer(from, effect.peer) { peer, _ -> peer.onRows(effect.rows) }
            is ControlEffect.ExchangeDigest -> exchange(from, node, effect)
            is ControlEffect.FetchObject -> network.toTable(from.number) {
                val text = objects.getValue(effect.hash)
                network.fromTable(from.number) { from.deliver(node) { it.onObject(effect.hash, text) } }
            }
        }
    }

    private fun requestPromise(from: TestInstance, node: ControlNode, request: ControlEffect.RequestPromise) {
        val question = PromiseQuery(
            from.identity.instance,
            request.generation,
            request.scope,
            request.sentAt,
            request.unrecordedRuns,
        )
        toPeer(from, request.successor.instance) { peer, instance ->
            if (peer.onPromiseRequest(question, request.successor.generation, instance.now())) {
                network.send(instance.number, from.number) { from.deliver(node) { it.onPromise(request) } }
            }
        }
    }

    private fun exchange(from: TestInstance, node: ControlNode, effect: ControlEffect.ExchangeDigest) =
        toPeer(from, effect.peer) { peer, instance ->
            val ownDigest = peer.state.rows.digest.values
            val rows = ownDigest.indices.filter { ownDigest[it] != effect.digest[it] }
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

    private fun setDraining(kind: DrainKind, name: String, draining: Boolean) =
        write(RowKeys.drain(kind, name), DrainBody(kind, name, draining, "operator"))

    private fun acceptConfiguration(service: ServiceConfiguration) {
        val number = (accepted[service.service] ?: 0) + 1
        val hash = "${service.service}-$number"
        objects[hash] = ConfigurationWriter.write(service.copy(repeatWindowMilliseconds = 60_000 + number))
        write(RowKeys.configuration(service.service), ConfigurationBody(service.service, number, hash, "operator"))
        accepted[service.service] = number
    }

    /** Writes a row as an operator, whose connection to the table has no faults. */
    private fun write(key: String, body: RowBody) {
        val condition = Condition(key, network.table.version(key))
        network.table.commit(Transaction("operator-${++operatorWrites}", listOf(condition), listOf(Write(key, body))))
    }

    private fun heal() {
        network.heal()
        downUntil.clear()
        hotUntil.clear()
        oracle.clearDrains()
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
                .forEach { setDraining(kind, it, draining = false) }
        }
    }

    private fun checkRecovered() {
        val failures = TestServices.servers.mapNotNull { gateFailure(it.name) } +
            TestServices.all.flatMap { service -> shardFailures(service) + configurationFailures(service) }
        if (failures.isNotEmpty()) throw InvariantViolation("not recovered: ${failures.joinToString("; ")}")
    }

    private fun gateFailure(server: ServerName): String? {
        val users = instances.count { it.router?.mayUse(server) == true }
        return if (users == 1) null else "$users instances may use $server"
    }

    private fun shardFailures(service: ServiceConfiguration): List<String> =
        (0 until service.shards).map { RowKeys.shard(service.service, it) }.mapNotNull { shard ->
            val owners = instances.sumOf { instance ->
                service.servers.count { instance.router?.mayServe(it.name, shard) == true }
            }
            if (owners == 1) null else "$owners servers serve $shard"
        }

    private fun configurationFailures(service: ServiceConfiguration): List<String> = instances.mapNotNull { instance ->
        val number = instance.node?.state?.configurations?.get(service.service)?.number
        if (number == accepted[service.service]) null else "${instance.number} applies $number of ${service.service}"
    }

    /** Applies faults to the network, the table, processes and servers. */
    private inner class FaultInjector {
        fun apply(fault: Fault) {
            val instance = instances[fault.target % INSTANCES]
            val until = network.time + fault.durationMilliseconds
            when (fault.kind.area) {
                FaultArea.NETWORK -> cutNetwork(fault.kind, instance, instances[fault.other % INSTANCES], until)
                FaultArea.PLATFORM -> disruptTable(fault.kind, instance, until)
                FaultArea.PROCESS -> disruptProcess(fault.kind, instance, until)
                FaultArea.OPERATOR -> runOperatorAction(fault, instance, until)
                FaultArea.SERVER -> serverOf(fault).let { if (fault.kind == FaultKind.HOT_KEY) hotUntil else downUntil }
                    .put(serverOf(fault), until)
            }
        }

        private fun serverOf(fault: Fault) = TestServices.servers[fault.target % TestServices.servers.size].name

        private fun cutNetwork(kind: FaultKind, instance: TestInstance, other: TestInstance, until: Long) {
            val (inside, outside) = instances.partition { it.identity.domain == instance.identity.domain }
            val pairs = when (kind) {
                FaultKind.CUT_ONE_WAY -> listOf(instance to other)
                FaultKind.CUT_PEERS -> listOf(instance to other, other to instance)
                else -> inside.flatMap { near -> outside.flatMap { far -> listOf(near to far, far to near) } }
            }
            pairs.forEach { (from, to) -> network.cut(from.number, to.number, until) }
            if (kind == FaultKind.CUT_DOMAIN_AND_TABLE) inside.forEach { network.cutFromTable(it.number, until) }
        }

        private fun disruptTable(kind: FaultKind, instance: TestInstance, until: Long) = when (kind) {
            FaultKind.CUT_TABLE -> network.cutFromTable(instance.number, until)
            FaultKind.TABLE_OUTAGE -> network.tableOutageUntil = until
            FaultKind.TABLE_SLOW -> network.tableSlowUntil = until
            else -> network.loseRepliesUntil = until
        }

        private fun disruptProcess(kind: FaultKind, instance: TestInstance, until: Long) {
            when (kind) {
                FaultKind.PAUSE_CONTROLLER -> instance.controllerPausedUntil = until
                FaultKind.PAUSE_ROUTER -> instance.routerPausedUntil = until
                FaultKind.PAUSE_INSTANCE -> {
                    instance.controllerPausedUntil = until
                    instance.routerPausedUntil = until
                }

                FaultKind.RESTART_CONTROLLER -> if (instance.node != null) instance.startController()
                else -> stopProcess(kind, instance, until)
            }
        }

        private fun stopProcess(kind: FaultKind, instance: TestInstance, until: Long) {
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

        private fun runOperatorAction(fault: Fault, instance: TestInstance, until: Long) = when (fault.kind) {
            FaultKind.DRAIN_SERVER -> drain(DrainKind.SERVER, serverOf(fault).text, until)
            FaultKind.DRAIN_INSTANCE -> drain(DrainKind.INSTANCE, instance.identity.instance.text, until)
            FaultKind.DRAIN_DOMAIN -> drain(DrainKind.DOMAIN, instance.identity.domain.text, until)
            else -> acceptConfiguration(TestServices.all[fault.target % TestServices.all.size])
        }

        private fun drain(kind: DrainKind, name: String, until: Long) {
            setDraining(kind, name, draining = true)
            network.schedule(until) { setDraining(kind, name, draining = false) }
        }
    }

    private companion object {
        const val INSTANCES = 8
        const val FAULT_PHASE_MILLISECONDS = 20_000L
        const val RECOVERY_MILLISECONDS = 12_000L
    }
}
