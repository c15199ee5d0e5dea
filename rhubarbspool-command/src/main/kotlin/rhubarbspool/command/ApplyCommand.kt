/*
 * `rhubarbspool apply`: writes a configuration to the table and waits until it is in force.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import rhubarbspool.configuration.ConfigurationReader
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.table.ConfigurationBody
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.body

/** Puts a configuration into force on all active instances. */
internal class ApplyCommand : SystemCommand("apply") {
    private val file by argument("file", help = "Configuration file").file(mustExist = true, canBeDir = false)
    private val noWait by option("--no-wait", help = "Return once the configuration is accepted").flag()
    private val seconds by option(
        "--seconds",
        help = "Seconds to wait until the configuration is in force"
    ).long().default(DEFAULT_SECONDS)
    private val reason by option("--reason", help = "Reason, for the audit trail").default("")

    override fun help(context: Context): String =
        "Submits a configuration and waits until it is in force on every instance.\n\n" +
            "Example: rhubarbspool apply samples/phewa/booking-ledger-configuration.yaml --platform 127.0.0.1:7000"

    override fun execute(client: OperatorClient) {
        val text = file.readText()
        val configuration = ConfigurationReader.read(text).fold({ rejectDocument(file.path, it) }, { it })
        val rows = client.fetchRows()
        val current = rows.body<ConfigurationBody>(RowKeys.configuration(configuration.service))
        val number = (current?.number ?: 0) + 1
        val body = ConfigurationBody(configuration.service, number, client.storeObject(text), author)
        val key = RowKeys.configuration(configuration.service)
        val row = write(client, rows, OperatorChange(key, body, author, "apply", reason))
        echo("accepted ${configuration.service} number $number")
        client.pushRow(rows.activeMembers(), row)
        if (!noWait) waitUntilInForce(client, rows, configuration, number)
    }

    private fun waitUntilInForce(
        client: OperatorClient,
        rows: RowTable,
        configuration: ServiceConfiguration,
        number: Long,
    ) {
        val startedAt = System.nanoTime()
        val members = rows.activeMembers()
        while (true) {
            val pending = members.filterNot { member ->
                client.status(member)?.configurationsList.orEmpty()
                    .any { it.service == configuration.service.text && it.version >= number }
            }
            val elapsed = (System.nanoTime() - startedAt) / NANOSECONDS_PER_MILLISECOND
            echo(
                "in force on ${members.size - pending.size} of ${members.size} instances after $elapsed ms",
                err = true
            )
            if (pending.isEmpty()) return
            if (elapsed > seconds * MILLISECONDS_PER_SECOND) {
                echo("not in force on: ${pending.joinToString { it.instance.text }}", err = true)
                throw ProgramResult(ExitCodes.FAILED)
            }
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
        }
    }

    private companion object {
        const val DEFAULT_SECONDS = 14L
        const val POLL_INTERVAL_MILLISECONDS = 100L
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
