/*
 * Addresses on the loopback interface for tests. Ports are below the kernel's ephemeral range, so that no outgoing
 * connection takes one between its choice and its use.
 */
package rhubarbspool.standins

import rhubarbspool.model.Address
import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Picks random unused loopback addresses. */
object FreeAddresses {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000

    /** Returns an address whose port is free. */
    fun next(): Address = generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }.first(::isFree)
        .let { Address("127.0.0.1", it) }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }
}
