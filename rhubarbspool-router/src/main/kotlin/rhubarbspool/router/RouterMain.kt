/*
 * Entry point of `rhubarbspool-router`.
 */
package rhubarbspool.router

import rhubarbspool.edge.DaemonLauncher

/** Starts the router from the settings file named on the command line. */
object RouterMain {
    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) =
        DaemonLauncher.launch("rhubarbspool-router", arguments) { RouterDaemon(it).also(RouterDaemon::start) }
}
