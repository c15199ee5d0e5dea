/*
 * Entry point of `rhubarbspool-controller`.
 */
package rhubarbspool.controller

import rhubarbspool.edge.DaemonLauncher

/** Starts the controller from the settings file named on the command line. */
object ControllerMain {
    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) =
        DaemonLauncher.launch(
            "rhubarbspool-controller",
            arguments
        ) { ControllerDaemon(it).also(ControllerDaemon::start) }
}
