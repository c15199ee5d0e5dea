/*
 * Commands that change the state of a running system (drain, undrain, release-quarantine), and the audit trail of
 * such changes.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.encodeToString
import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.model.ServiceName
import rhubarbspool.table.AuditBody
import rhubarbspool.table.DrainBody
import rhubarbspool.table.DrainKind
import rhubarbspool.table.QuarantineBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.body
import rhubarbspool.table.configurations
import java.time.Instant

/** Drains a server, an instance or a failure domain if [draining], or else brings it back into service. */
internal class DrainCommand(private val draining: Boolean) : SystemCommand(if (draining) "drain" else "undrain") {
    private val kind by argument("kind", help = "server, instance or domain").enum<DrainKind>()
    private val target by argument("name", help = "Name of the server, instance or domain")
    private val reason by option("--reason", help = "Reason, for the audit trail").default("")
    private val noWait by option("--no-wait", help = "Return once the order is accepted").flag()
    private val seconds by option(
        "--seconds",
        help = "Seconds to wait until gates or shards have moved"
    ).long().default(DEFAULT_SECONDS)

    override fun help(context: Context): String = if (draining) {
        "Takes a server, an instance or a failure domain out of service without cutting off requests.\n\n" +
            "Example: rhubarbspool drain domain gandaki-a --reason 'power work' --platform 127.0.0.1:7000"
    } else {
        "Brings a server, an instance or a failure domain back into service.\n\n" +
            "Example: rhubarbspool undrain domain gandaki-a --platform 127.0.0.1:7000"
    }

    override fun execute(client: OperatorClient) {
        val rows = client.fetchRows()
        val key = RowKeys.drain(kind, target)
        val current = rows.body<DrainBody>(key)?.draining ?: false
        if (current == draining) {
            echo("$target is already ${if (draining) "drained" else "in service"}")
            return
        }
        val body = DrainBody(kind, target, draining, author, reason)
        val row = write(client, rows, OperatorChange(key, body, author, commandName, reason))
        echo("accepted: $commandName ${kind.name.lowercase()} $target")
        client.pushRow(rows.activeMembers(), row)
        if (draining && !noWait) waitUntilDrained(client)
    }

    private fun waitUntilDrained(client: OperatorClient) {
        val startedAt = System.nanoTime()
        while (true) {
            val remaining = countRemaining(client.fetchRows(), client)
            val elapsed = (System.nanoTime() - startedAt) / NANOSECONDS_PER_MILLISECOND
            echo("$remaining left after $elapsed ms", err = true)
            if (remaining == 0) return
            if (elapsed > seconds * MILLISECONDS_PER_SECOND) throw ProgramResult(ExitCodes.FAILED)
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
        }
    }

    private fun countRemaining(rows: RowTable, client: OperatorClient): Int = when (kind) {
        DrainKind.INSTANCE -> rows.gates.values.count { it.gate.holder?.text == target }
        DrainKind.SERVER -> rows.gates.values.filter {
            it.gate.server.text == target
        }.sumOf { rows.shardsOf(it.gate.server).size }
        DrainKind.DOMAIN -> serversOf(rows, client).sumOf { rows.shardsOf(it).size }
    }

    private fun serversOf(rows: RowTable, client: OperatorClient) = rows.configurations()
        .mapNotNull { client.fetchObject(it.objectHash) }
        .mapNotNull { ConfigurationReader.read(it).getOrNull() }
        .flatMap { it.servers }.filter { it.domain.text == target }.map { it.name }

    private companion object {
        const val DEFAULT_SECONDS = 30L
        const val POLL_INTERVAL_MILLISECONDS = 250L
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}

/** Releases a request fingerprint from quarantine. */
internal class ReleaseQuarantineCommand : SystemCommand("release-quarantine") {
    private val service by argument("service", help = "Name of the service")
    private val fingerprint by argument("fingerprint", help = "Fingerprint as shown by status")
    private val reason by option("--reason", help = "Reason, for the audit trail").default("")

    override fun help(context: Context): String = "Lets a request run again that was in flight when servers crashed."

    override fun execute(client: OperatorClient) {
        val rows = client.fetchRows()
        val key = RowKeys.quarantine(ServiceName(service), fingerprint)
        val quarantine = rows.body<QuarantineBody>(key)
        if (quarantine == null) {
            echo("$fingerprint of $service is not in quarantine", err = true)
            throw ProgramResult(ExitCodes.FAILED)
        }
        val row =
            write(
                client,
                rows,
                OperatorChange(key, quarantine.copy(releasedBy = author), author, "release-quarantine", reason)
            )
        client.pushRow(rows.activeMembers(), row)
        echo("released $fingerprint of $service")
    }
}

/** Prints the newest entries of the audit trail. */
internal class AuditCommand : SystemCommand("audit") {
    private val lines by option("--lines", help = "Number of entries to show").int().default(DEFAULT_LINES)

    override fun help(context: Context): String =
        "Shows who changed what, newest first.\n\nExample: rhubarbspool audit --lines 20 --platform 127.0.0.1:7000"

    override fun execute(client: OperatorClient) {
        val auditLines = client.fetchAuditLines(lines)
        if (json) return echo(prettyJson.encodeToString(auditLines.map { it.audit }))
        auditLines.forEach { echo(formatLine(it.audit)) }
    }

    private fun formatLine(audit: AuditBody): String {
        val cause = if (audit.cause.isEmpty()) "" else " (${audit.cause})"
        return "${Instant.ofEpochMilli(audit.atMilliseconds)} ${audit.author} ${audit.action} ${audit.subject}: " +
            "${audit.before} -> ${audit.after}$cause"
    }

    private companion object {
        const val DEFAULT_LINES = 50
    }
}
