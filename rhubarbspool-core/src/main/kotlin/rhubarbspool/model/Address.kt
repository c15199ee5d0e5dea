/*
 * Network addresses. Only numeric IP addresses are used; host names are never resolved.
 */
package rhubarbspool.model

import com.google.common.net.InetAddresses
import kotlinx.serialization.Serializable

/** Numeric IP address and TCP port. */
@Serializable
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Lowest valid TCP port. */
        const val MINIMUM_PORT: Int = 1

        /** Highest valid TCP port. */
        const val MAXIMUM_PORT: Int = 65_535

        /** Parses `host:port` with a numeric host; null if [text] is malformed. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return port
                ?.takeIf { it in MINIMUM_PORT..MAXIMUM_PORT && isNumeric(host) }
                ?.let { Address(host, it) }
        }

        private fun isNumeric(host: String) = InetAddresses.isInetAddress(host.removeSurrounding("[", "]"))
    }
}
