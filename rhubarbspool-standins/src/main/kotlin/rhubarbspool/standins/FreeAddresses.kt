/*
 * Addresses on the loopback interface for tests. Ports are below the kernel's ephemeral range, so that no outgoing
 * connection takes one between its choice and its use. A port is returned once only: a process that outlives its test
 * would otherwise find another test's process at an address that it knows.
 */
package rhubarbspool.standins

import rhubarbspool.model.Address
import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Picks unused loopback addresses. */
object FreeAddresses {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000
    private var nextPort = Random.nextInt(FIRST_PORT, LAST_PORT)

    /** Returns an address whose port, and the [following] ports after it, are free. */
    @Synchronized
    fun next(following: Int = 0): Address {
        var first = take(following + 1)
        while (!(first..first + following).all(::isFree)) first = take(following + 1)
        return Address("127.0.0.1", first)
    }

    /** Returns the first of [count] neighbouring ports that were not returned before. */
    private fun take(count: Int): Int {
        val first = if (nextPort + count > LAST_PORT) FIRST_PORT else nextPort
        nextPort = first + count
        return first
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }
}
