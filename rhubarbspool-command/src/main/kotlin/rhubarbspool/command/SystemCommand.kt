/*
 * Common base of the commands that access a running system.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address
import rhubarbspool.table.CommitResult
import rhubarbspool.table.RowCodec
import rhubarbspool.table.RowTable
import rhubarbspool.table.VersionedRow

/** Command that connects to the platform of a running system. */
internal abstract class SystemCommand(name: String) : CliktCommand(name = name) {
    private val platform by option(
        "--platform",
        envvar = "RHUBARBSPOOL_PLATFORM",
        help = "Address of the platform services, such as 127.0.0.1:7000",
    ).convert { Address.parse(it) ?: fail("an IP number and a port, such as 127.0.0.1:7000") }.required()

    /** Whether to print JSON instead of text. */
    protected val json by option("--json", help = "Print machine-readable JSON").flag()

    /** Operator whom the audit trail names as the author of a change. */
    protected val author by option(
        "--author",
        envvar = "USER",
        help = "Author of the change, for the audit trail"
    ).default("operator")

    final override fun run() {
        try {
            OperatorClient(platform).use(::execute)
        } catch (exception: PlatformUnavailableException) {
            echo("${exception.message}: $platform", err = true)
            throw ProgramResult(ExitCodes.PLATFORM_UNAVAILABLE)
        }
    }

    /** Runs the command. [client] is closed afterwards. */
    protected abstract fun execute(client: OperatorClient)

    /**
     * Writes [change], based on the versions in [rows], and returns the new row. Exits with [ExitCodes.CONFLICT] if the
     * row was changed since it was read.
     */
    protected fun write(client: OperatorClient, rows: RowTable, change: OperatorChange): VersionedRow {
        val current = rows.row(change.key)
        val previousBody = current?.body?.let(RowCodec::encode) ?: "none"
        return when (val result = client.write(change, current?.version ?: 0, previousBody)) {
            is CommitResult.Committed -> result.rows.first { it.key == change.key }
            is CommitResult.Conflict -> failWithConflict(change, result)
            is CommitResult.Unknown -> throw PlatformUnavailableException(null)
        }
    }

    private fun failWithConflict(change: OperatorChange, result: CommitResult.Conflict): Nothing {
        val currentBody = result.rows.firstOrNull { it.key == change.key }?.body?.let(RowCodec::encode)
        echo(
            "${change.key} was changed by another operator meanwhile; it is now: ${currentBody ?: "deleted"}",
            err = true
        )
        throw ProgramResult(ExitCodes.CONFLICT)
    }

    protected companion object {
        /** JSON format of the `--json` output. */
        val prettyJson: Json = Json { prettyPrint = true }
    }
}
