/*
 * Start and stop of both daemons: reads settings from a file, prints every settings error on standard error, and
 * begins a planned stop on SIGTERM.
 */
package rhubarbspool.edge

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** A running daemon. */
interface Daemon {
    /** Performs a planned stop; returns when it is complete. */
    fun stop()
}

/** Starts a daemon with the settings file given on the command line. */
object DaemonLauncher {
    private const val EXIT_USAGE = 2
    private const val EXIT_SETTINGS = 3
    private const val EXIT_START = 4

    /** Reads the settings and calls [start]; exits with a non-zero status when either fails. */
    fun launch(program: String, arguments: Array<String>, start: (DaemonSettings) -> Daemon) {
        val file = arguments.singleOrNull() ?: fail(EXIT_USAGE, "usage: $program <settings.yaml>")
        val path = Path.of(file)
        if (!Files.isReadable(path)) fail(EXIT_USAGE, "$program: can't read settings file $file")
        DaemonSettings.read(Files.readString(path)).fold(
            { errors -> fail(EXIT_SETTINGS, errors.joinToString("\n") { "$file: $it" }) },
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
