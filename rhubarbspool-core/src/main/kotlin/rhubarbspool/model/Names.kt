/*
 * Names of the entities that all modules use. Each is a value class over a string, so that the name of a server can't
 * be passed where the name of an instance is expected.
 */
package rhubarbspool.model

import kotlinx.serialization.Serializable

/** Name of an instance: a machine that runs a router and a controller. */
@Serializable
@JvmInline
value class InstanceName(val text: String) : Comparable<InstanceName> {
    override fun compareTo(other: InstanceName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Name of a failure domain. */
@Serializable
@JvmInline
value class FailureDomainName(val text: String) : Comparable<FailureDomainName> {
    override fun compareTo(other: FailureDomainName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Name of a backend server, unique over all services. */
@Serializable
@JvmInline
value class ServerName(val text: String) : Comparable<ServerName> {
    override fun compareTo(other: ServerName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Name of a service: a set of backend servers that its keys are partitioned between. */
@Serializable
@JvmInline
value class ServiceName(val text: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
