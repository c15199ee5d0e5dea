/*
 * What both daemons share at start and stop: settings from a file, every fault of them on standard error, and a
 * planned stop on SIGTERM.
 */
package rhubarbspool.edge

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** A running daemon. */
interface Daemon {
    /** Stops in a planned way; returns when nothing is left to do. */
    fun stop()
}

/** Starts a daemon from the settings file named on the command line. */
object DaemonLauncher {
    private const val EXIT_USAGE = 2
    private const val EXIT_SETTINGS = 3
    private const val EXIT_START = 4

    /** Reads the settings and runs [start]; ends the process with a status when the settings are at fault. */
    fun launch(program: String, arguments: Array<String>, start: (DaemonSettings) -> Daemon) {
        val file = arguments.singleOrNull() ?: fail(EXIT_USAGE, "usage: $program <settings.yaml>")
        val path = Path.of(file)
        if (!Files.isReadable(path)) fail(EXIT_USAGE, "$program: $file can't be read")
        DaemonSettings.read(Files.readString(path)).fold(
            { faults -> fail(EXIT_SETTINGS, faults.joinToString("\n") { "$file: $it" }) },
            { settings -> stopOnSignal(startOrFail(program, settings, start)) },
        )
    }

    private fun startOrFail(program: String, settings: DaemonSettings, start: (DaemonSettings) -> Daemon): Daemon =
        try {
            start(settings)
        } catch (exception: IOException) {
            fail(EXIT_START, "$program: can't start: ${exception.message}: ${exception.cause?.message}")
        }

    private fun stopOnSignal(daemon: Daemon) =
        Runtime.getRuntime().addShutdownHook(Thread({ daemon.stop() }, "planned-stop"))

    private fun fail(status: Int, message: String): Nothing {
        System.err.println(message)
        exitProcess(status)
    }
}
