/*
 * Settings of the two daemons: identity of the instance, listening addresses, and addresses of the platform's
 * services. Settings of the routed services are in their configuration, which the platform stores.
 */
package rhubarbspool.edge

import arrow.core.Either
import rhubarbspool.control.Identity
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.settings.SettingsError
import rhubarbspool.settings.SettingsReader
import rhubarbspool.settings.address
import rhubarbspool.settings.duration
import rhubarbspool.settings.number
import rhubarbspool.settings.text

/** Addresses of the platform's services. */
data class PlatformSettings(val table: Address, val objects: Address, val instances: Address)

/**
 * Settings of one instance, shared by its router and its controller.
 *
 * @property callers address on which the router listens for callers.
 * @property routerObservation address on which the router serves health and metrics.
 * @property controllerObservation address on which the controller serves health and metrics.
 * @property callerConnections maximum number of concurrent caller connections.
 * @property drainMilliseconds maximum time for which a planned stop waits for requests in flight.
 */
data class DaemonSettings(
    val identity: Identity,
    val callers: Address,
    val routerObservation: Address,
    val controllerObservation: Address,
    val platform: PlatformSettings,
    val callerConnections: Int,
    val drainMilliseconds: Long,
) {
    companion object {
        private const val NAME_FORMAT = "lower-case letters, digits and hyphens, at most 63"
        private const val MAXIMUM_CONNECTIONS = 1_000_000L
        private const val DEFAULT_CONNECTIONS = 10_000L
        private const val MAXIMUM_DRAIN_MILLISECONDS = 3_600_000L
        private const val DEFAULT_DRAIN_MILLISECONDS = 30_000L
        private val NAME = Regex("[a-z0-9][a-z0-9-]{0,62}")

        /** Reads [document]; returns all of its errors when there are any. */
        fun read(document: String): Either<List<SettingsError>, DaemonSettings> =
            SettingsReader.read(document) { reader ->
                DaemonSettings(
                    identity = Identity(
                        InstanceName(reader.text("instance", NAME, NAME_FORMAT)),
                        FailureDomainName(reader.text("domain", NAME, NAME_FORMAT)),
                        controller = reader.address("controller"),
                        router = reader.address("router"),
                    ),
                    callers = reader.address("callers"),
                    routerObservation = reader.address("routerObservation"),
                    controllerObservation = reader.address("controllerObservation"),
                    platform = reader.section("platform", ::readPlatform),
                    callerConnections =
                    reader.number("callerConnections", 1L..MAXIMUM_CONNECTIONS, DEFAULT_CONNECTIONS).toInt(),
                    drainMilliseconds =
                    reader.duration("drain", 0L..MAXIMUM_DRAIN_MILLISECONDS, DEFAULT_DRAIN_MILLISECONDS),
                )
            }

        /** Reads the addresses of the platform's services. */
        fun readPlatform(reader: SettingsReader) = PlatformSettings(
            reader.address("table"),
            reader.address("objects"),
            reader.address("instances"),
        )
    }
}
