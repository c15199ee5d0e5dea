/*
 * `rhubarbspool-lab load`: sends load to a running system.
 */
package rhubarbspool.lab

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import rhubarbspool.model.Address

/** The subcommand `load`. */
internal class LoadCommand : CliktCommand(name = "load") {
    private val targets by option("--target", help = "Address that callers connect to; may be repeated")
        .convert { Address.parse(it) ?: fail("expected an IP address and a port") }.multiple(required = true)
    private val path by option("--path", help = "Path of reads, with the placeholder {key}").required()
    private val bookingPath by option("--booking-path", help = "Path of bookings, with the placeholder {key}")
    private val bookingShare by option("--booking-share", help = "Share of bookings, from 0 to 1").double().default(0.0)
    private val rate by option("--rate", help = "Requests per second").int().default(DEFAULT_RATE)
    private val seconds by option("--seconds", help = "Seconds after the warm-up").int().default(DEFAULT_SECONDS)
    private val warmUp by option("--warm-up", help = "Uncounted seconds at the start").int().default(DEFAULT_WARM_UP)
    private val keys by option("--keys", help = "Number of keys, used round-robin").int().default(DEFAULT_KEYS)
    private val output by option("--output", help = "File for the JSON result; default: standard output").file()

    override fun help(context: Context): String =
        "Sends requests at a constant rate; reports answers, latency and how long keys went unserved.\n\n" +
            "Example: rhubarbspool-lab load --target 127.0.0.1:8001 --path /availability-board/boats/{key} --rate 500"

    override fun run() {
        val plan = LoadPlan(targets, path, bookingPath, bookingShare, rate, seconds, warmUp, keys)
        val result = LoadGenerator(plan, "run-${System.currentTimeMillis()}").run { sent, served ->
            echo("sent $sent, served $served", err = true)
        }
        val text = JSON.encodeToString(result)
        output?.writeText(text) ?: echo(text)
    }

    private companion object {
        const val DEFAULT_RATE = 500
        const val DEFAULT_SECONDS = 10
        const val DEFAULT_WARM_UP = 3
        const val DEFAULT_KEYS = 200
        val JSON = Json { prettyPrint = true }
    }
}
