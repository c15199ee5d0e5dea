/*
 * Addresses on the loopback interface for tests. Ports come from below the range that the kernel takes for outgoing
 * connections, so that none is taken between the choice and the use.
 */
package rhubarbspool.standins

import rhubarbspool.model.Address
import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Chooses addresses. */
object FreeAddresses {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000

    /** An address whose port is free. */
    fun next(): Address = generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }.first(::isFree)
        .let { Address("127.0.0.1", it) }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }
}
