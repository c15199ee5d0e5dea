/*
 * `rhubarbspool explain`: which server serves a key, and why.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.model.ServiceName
import rhubarbspool.routing.KeyLocator
import rhubarbspool.table.AuditBody
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.body

/** Placement of a key, as printed by `explain --json`. */
@Serializable
internal data class Explanation(
    val service: String,
    val key: String,
    val shard: String,
    val server: String,
    val gate: String,
    val gateEpoch: Long,
    val shardEpoch: Long,
    val why: List<String>,
)

/** Explains the placement of a key: its shard, server and gate. */
internal class ExplainCommand : SystemCommand("explain") {
    private val service by argument("service", help = "Name of the service")
    private val key by argument("key", help = "Key as it appears in the request path")

    override fun help(context: Context): String =
        "Shows which server serves a key, which instance holds its gate, and why.\n\n" +
            "Example: rhubarbspool explain availability-board boat-17 --platform 127.0.0.1:7000"

    override fun execute(client: OperatorClient) {
        val rows = client.fetchRows()
        val row = rows.body<ConfigurationBody>(RowKeys.configuration(ServiceName(service)))
        val configuration = row?.let { client.fetchObject(it.objectHash) }
            ?.let { ConfigurationReader.read(it).getOrNull() }
        val location = configuration?.let { KeyLocator.locate(rows, it, key) }
        if (configuration == null || location == null) {
            echo(if (configuration == null) "no service $service is configured" else "no server owns $key", err = true)
            throw ProgramResult(ExitCodes.FAILED)
        }
        val explanation = Explanation(
            service,
            key,
            location.shardKey,
            location.server.text,
            location.holder?.text ?: "nobody",
            location.gateEpoch,
            location.shardEpoch,
            reasons(client, configuration, location.shardKey, location.server.text, location.holder?.text),
        )
        if (json) echo(prettyJson.encodeToString(explanation)) else print(explanation)
    }

    private fun reasons(
        client: OperatorClient,
        configuration: ServiceConfiguration,
        shard: String,
        server: String,
        holder: String?,
    ): List<String> {
        val auditLines = client.fetchAuditLines(AUDIT_LINES)
            .filter { shard in it.audit.subject || server in it.audit.subject }
        val range = "the key hashes into one of ${configuration.shards} shards"
        return listOfNotNull(
            if ("/key/" in shard) "the key is hot and has a shard of its own" else range,
            "the shard's row names $server",
            "${holder ?: "nobody"} holds the gate of $server",
            auditLines.firstOrNull()?.audit?.let(::lastChange),
        )
    }

    private fun lastChange(audit: AuditBody): String =
        "last change: ${audit.action} from ${audit.before} to ${audit.after} (${audit.cause})"

    private fun print(explanation: Explanation) {
        echo("key     ${explanation.key} of ${explanation.service}")
        echo("shard   ${explanation.shard} epoch ${explanation.shardEpoch}")
        echo("server  ${explanation.server}")
        echo("gate    ${explanation.gate} epoch ${explanation.gateEpoch}")
        explanation.why.forEach { echo("  - $it") }
    }

    private companion object {
        const val AUDIT_LINES = 500
    }
}
