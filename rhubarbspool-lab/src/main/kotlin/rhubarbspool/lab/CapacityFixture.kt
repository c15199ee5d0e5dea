/*
 * Test data for capacity measurements: the rows of a system of a given size, and one controller that has read them.
 */
package rhubarbspool.lab

import rhubarbspool.configuration.BackendServer
import rhubarbspool.configuration.ConfigurationWriter
import rhubarbspool.configuration.Priority
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.RunKind
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.control.ControlEffect
import rhubarbspool.control.ControlNode
import rhubarbspool.control.Identity
import rhubarbspool.control.RouterStatus
import rhubarbspool.gate.GateRequest
import rhubarbspool.lease.LeaseTimes
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.GateBody
import rhubarbspool.table.MemberBody
import rhubarbspool.table.RowBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.ShardBody
import rhubarbspool.table.VersionedRow
import kotlin.random.Random

/** A system of [members] instances, each with the gate of one server, and [shards] shards. */
internal class CapacityFixture(private val members: Int, private val shards: Int) {
    private var version = 0L

    /** Simulated monotonic time in milliseconds. */
    var nowMilliseconds = 0L
        private set
    val service = ServiceName("large")
    val configuration = ServiceConfiguration(
        service,
        shards,
        routes = listOf(Route("read", "GET", "/{key}")),
        servers = List(members) { BackendServer(server(it), address(it), domain(it)) },
    )

    /** Row of shard [index] at [version]. */
    fun shardRow(index: Int, version: Long): VersionedRow {
        val body = ShardBody(service, index, server(index % members))
        return VersionedRow(RowKeys.shard(service, index), version, "entry-$index.run.$index", body)
    }

    /** A copy of all rows. */
    fun rows(): RowTable = RowTable().also { table -> allRows().forEach(table::merge) }

    /** Creates the controller of the first instance, which has joined the system and read all rows. */
    fun createNode(): ControlNode {
        val identity = Identity(instance(0), domain(0), address(0), address(0))
        val node = ControlNode(identity, LeaseTimes(), Random(1))
        node.onScan(0, allRows(), version, Now(nowMilliseconds))
        return node
    }

    /** Runs one tick of [node] and completes its effects as healthy peers and an available table would. */
    fun runTick(node: ControlNode) {
        nowMilliseconds += TICK_MILLISECONDS
        node.router.report(RouterStatus(), Now(nowMilliseconds))
        node.tick(Now(nowMilliseconds)).forEach { completeEffect(node, it) }
    }

    private fun completeEffect(node: ControlNode, effect: ControlEffect) {
        when (effect) {
            is ControlEffect.RequestPromise -> node.onPromise(effect)
            is ControlEffect.Scan -> node.onScan(effect.after, emptyList(), version, Now(nowMilliseconds))
            is ControlEffect.FetchObject -> node.onObject(effect.hash, ConfigurationWriter.write(configuration))
            is ControlEffect.Commit -> {
                version++
                val written = effect.transaction.writes
                    .map { VersionedRow(it.key, version, effect.transaction.writeId, it.body) }
                val writeId = effect.transaction.writeId
                node.onCommit(effect.purpose, writeId, CommitResult.Committed(written), Now(nowMilliseconds))
            }

            else -> Unit
        }
    }

    private fun allRows(): List<VersionedRow> =
        (0 until members).flatMap { listOf(memberRow(it), gateRow(it)) } +
            (0 until shards).map { shardRow(it, ++version) } +
            row(RowKeys.configuration(service), ConfigurationBody(service, 1, "hash", "operator"))

    private fun memberRow(number: Int): VersionedRow {
        val body = MemberBody(instance(number), domain(number), address(number), address(number), generation = 1)
        return row(RowKeys.member(body.instance), body)
    }

    private fun gateRow(number: Int): VersionedRow =
        row(RowKeys.gate(server(number)), GateBody(server(number), service, instance(number), 1, 1))

    private fun row(key: String, body: RowBody) = VersionedRow(key, ++version, "write-$version", body)

    companion object {
        private const val TICK_MILLISECONDS = 30L
        private const val DOMAINS = 7
        private const val FIRST_PORT = 1_000
        private const val DEADLINE_MILLISECONDS = 1_000_000L

        private fun instance(number: Int) = InstanceName("entry-$number")

        private fun server(number: Int) = ServerName("server-$number")

        private fun domain(number: Int) = FailureDomainName("domain-${number % DOMAINS}")

        private fun address(number: Int) = Address("127.0.0.1", FIRST_PORT + number)

        /** Creates request [id], whose key and caller are derived from the id. */
        fun request(id: Long) = GateRequest(
            id,
            key = "key-${id % FIRST_PORT}",
            shard = "shard",
            caller = "caller-${id % DOMAINS}",
            kind = RunKind.REPEATABLE,
            priority = Priority.NORMAL,
            fingerprint = "fingerprint-$id",
            deadlineAt = id + DEADLINE_MILLISECONDS,
        )
    }
}
