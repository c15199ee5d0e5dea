/*
 * `rhubarbspool status`: the instances, the servers with their gates and shards, and what is drained or quarantined.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.ServerBody
import rhubarbspool.table.body
import rhubarbspool.table.configurations
import rhubarbspool.table.drains
import rhubarbspool.table.quarantines

/** Status of one instance; [answers] says whether its controller responded. */
@Serializable
internal data class InstanceStatus(
    val instance: String,
    val domain: String,
    val state: String,
    val generation: Long,
    val answers: Boolean,
    val leaseValid: Boolean,
    val gates: Int,
    val tableAgeMilliseconds: Long,
)

/** Status of one backend server, with the [holder] of its gate. */
@Serializable
internal data class ServerStatus(
    val server: String,
    val service: String,
    val holder: String,
    val gateEpoch: Long,
    val shards: Int,
    val reachable: Boolean,
)

/** Status of the whole system, as printed by `status --json`. */
@Serializable
internal data class SystemStatus(
    val instances: List<InstanceStatus>,
    val servers: List<ServerStatus>,
    val drained: List<String>,
    val configurations: List<String>,
    val quarantined: List<String>,
)

/** Prints the status of all instances and servers. */
internal class StatusCommand : SystemCommand("status") {
    override fun help(context: Context): String =
        "Shows instances, servers, drains and configurations.\n\nExample: rhubarbspool status --platform 127.0.0.1:7000"

    override fun execute(client: OperatorClient) {
        val status = collectStatus(client, client.fetchRows())
        if (json) echo(prettyJson.encodeToString(status)) else print(status)
    }

    private fun collectStatus(client: OperatorClient, rows: RowTable) = SystemStatus(
        instances = rows.members.values.filter { it.member.state != MemberState.GONE }.map { entry ->
            val reply = client.status(entry.member)
            InstanceStatus(
                entry.member.instance.text,
                entry.member.domain.text,
                entry.member.state.name.lowercase(),
                entry.member.generation,
                reply != null,
                reply?.leaseValid ?: false,
                reply?.gatesCount ?: 0,
                reply?.tableAgeMilliseconds ?: -1,
            )
        },
        servers = rows.gates.values.map { entry ->
            val reachable = rows.body<ServerBody>(RowKeys.server(entry.gate.server))?.reachable ?: true
            ServerStatus(
                entry.gate.server.text,
                entry.gate.service.text,
                entry.gate.holder?.text ?: "nobody",
                entry.gate.epoch,
                rows.shardsOf(entry.gate.server).size,
                reachable,
            )
        },
        drained = rows.drains().filter { it.draining }.map { "${it.kind.name.lowercase()} ${it.name} by ${it.author}" },
        configurations = rows.configurations().map { "${it.service} number ${it.number} by ${it.author}" },
        quarantined = rows.quarantines().filter { it.releasedBy == null }
            .map { "${it.service} ${it.fingerprint} after ${it.crashes} crashes" },
    )

    private fun print(status: SystemStatus) {
        echo("INSTANCE             DOMAIN               STATE    ANSWERS LEASE  GATES TABLE-AGE")
        status.instances.forEach {
            echo(
                "%-20s %-20s %-8s %-7s %-6s %5d %6d ms".format(
                    it.instance,
                    it.domain,
                    it.state,
                    it.answers,
                    it.leaseValid,
                    it.gates,
                    it.tableAgeMilliseconds
                )
            )
        }
        echo("\nSERVER               SERVICE              HOLDER               EPOCH SHARDS REACHABLE")
        status.servers.forEach {
            echo(
                "%-20s %-20s %-20s %5d %6d %s".format(
                    it.server,
                    it.service,
                    it.holder,
                    it.gateEpoch,
                    it.shards,
                    it.reachable
                )
            )
        }
        printSection("DRAINED", status.drained)
        printSection("CONFIGURATIONS", status.configurations)
        printSection("QUARANTINED", status.quarantined)
    }

    private fun printSection(title: String, lines: List<String>) {
        if (lines.isEmpty()) return
        echo("\n$title")
        lines.forEach { echo("  $it") }
    }
}
