/*
 * Entry point of the stand-ins. One process acts as the platform, or as a number of backend servers.
 */
package rhubarbspool.standins

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import rhubarbspool.edge.platformJson
import rhubarbspool.model.Address
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

/** Starts the stand-in named by the first argument. */
object StandIns {
    private const val USAGE =
        "usage: rhubarbspool-standins platform <address> | servers <behaviour.json> <name=address>..."
    private const val EXIT_USAGE = 2
    private const val CRASHED = 137

    /** Entry point of the program. */
    @JvmStatic
    fun main(arguments: Array<String>) {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        when (arguments.firstOrNull()) {
            "platform" -> {
                val address = Address.parse(arguments.getOrElse(1) { "" }) ?: usage()
                PlatformStandIn(group).listen(address).closeFuture().sync()
            }

            "servers" -> startServers(arguments, group)
            else -> usage()
        }
    }

    private fun startServers(arguments: Array<String>, group: MultiThreadIoEventLoopGroup) {
        val behaviour = platformJson.decodeFromString<ServerBehaviour>(Files.readString(Path.of(arguments[1])))
        val servers = arguments.drop(2).map { it.substringBefore('=') to it.substringAfter('=') }
        servers.forEachIndexed { index, (name, text) ->
            val address = Address.parse(text) ?: usage()
            val crash = { if (servers.size == 1) Runtime.getRuntime().halt(CRASHED) }
            BackendStandIn(name, group, behaviour, Random(index + 1), crash).start(address)
        }
        group.terminationFuture().sync()
    }

    private fun usage(): Nothing {
        System.err.println(USAGE)
        exitProcess(EXIT_USAGE)
    }
}
