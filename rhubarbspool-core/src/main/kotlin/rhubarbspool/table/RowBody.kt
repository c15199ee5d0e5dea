/*
 * The rows that the system keeps in the platform's table service. Each row is a small JSON document under a
 * key whose first segment names its kind. Keys of the 350 million caller-facing keys are never rows: they
 * hash into the ranges of a service's shard map, and only a hot key gets a row of its own.
 */
package rhubarbspool.table

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Body of a row. */
@Serializable
sealed interface RowBody

/** An instance that may take over; a later generation of the same instance may not. */
@Serializable
data class Successor(val instance: InstanceName, val generation: Long)

/** Life cycle of an instance as the table has it. */
@Serializable
enum class MemberState { ACTIVE, LEAVING, GONE }

/**
 * An instance and its promise to be taken over only by its successors.
 *
 * @property generation grows with each start of the instance; claims name the generation they belong to.
 * @property successors instances of the same failure domain that may take over after the takeover wait.
 * @property remoteSuccessors instances of other failure domains that may take over the gates of services
 *   which move out of a domain that is cut off, after the longer remote wait.
 * @property remoteWaitMilliseconds the remote wait in force, 0 when no service moves.
 */
@Serializable
@SerialName("member")
data class MemberBody(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val controller: Address,
    val router: Address,
    val generation: Long,
    val state: MemberState = MemberState.ACTIVE,
    val successors: List<Successor> = emptyList(),
    val remoteSuccessors: List<Successor> = emptyList(),
    val remoteWaitMilliseconds: Long = 0,
) : RowBody

/**
 * Which instance is the only sender to a backend server.
 *
 * @property holder the instance, null while nobody holds the gate.
 * @property generation the holder's generation that claimed the gate.
 * @property epoch grows with each change of holder; servers that check grants refuse lower ones.
 * @property suspectUntilMilliseconds wall-clock time until which once-only requests can't be told from
 *   repeats, because an earlier holder ran requests that it could not record; 0 in the usual case.
 */
@Serializable
@SerialName("gate")
data class GateBody(
    val server: ServerName,
    val service: ServiceName,
    val holder: InstanceName?,
    val generation: Long = 0,
    val epoch: Long = 0,
    val suspectUntilMilliseconds: Long = 0,
) : RowBody

/**
 * Which backend server owns a range of a service's hashed keys, or one hot key.
 *
 * @property index number of the range; for a hot key the range that it was split out of.
 * @property hotKey the key itself for a hot key's own shard.
 * @property epoch grows with each move.
 */
@Serializable
@SerialName("shard")
data class ShardBody(
    val service: ServiceName,
    val index: Int,
    val server: ServerName,
    val epoch: Long = 1,
    val hotKey: String? = null,
) : RowBody

/** The accepted configuration of a service; its text is in the object store under [objectHash]. */
@Serializable
@SerialName("configuration")
data class ConfigurationBody(
    val service: ServiceName,
    val number: Long,
    val objectHash: String,
    val author: String,
) : RowBody

/** Kinds of things that operators take out of service. */
@Serializable
enum class DrainKind { SERVER, INSTANCE, DOMAIN }

/** An operator's order to take something out of service ([draining]) or to bring it back. */
@Serializable
@SerialName("drain")
data class DrainBody(
    val kind: DrainKind,
    val name: String,
    val draining: Boolean,
    val author: String,
    val reason: String = "",
) : RowBody

/** A request fingerprint that was in flight at [crashes] server crashes. */
@Serializable
@SerialName("quarantine")
data class QuarantineBody(
    val service: ServiceName,
    val fingerprint: String,
    val crashes: Int,
    val expiresAtMilliseconds: Long,
    val releasedBy: String? = null,
) : RowBody

/** What the gate of a backend server last saw of it. */
@Serializable
@SerialName("server")
data class ServerBody(val server: ServerName, val service: ServiceName, val reachable: Boolean) : RowBody

/** One line of the audit trail, written in the same transaction as the change. */
@Serializable
@SerialName("audit")
data class AuditBody(
    val author: String,
    val action: String,
    val subject: String,
    val before: String,
    val after: String,
    val cause: String,
    val atMilliseconds: Long,
) : RowBody

/** A once-only request that a gate was about to run, or had run. */
@Serializable
@SerialName("once")
data class OnceBody(
    val service: ServiceName,
    val fingerprint: String,
    val gateEpoch: Long,
    val status: Int? = null,
    val contentType: String? = null,
    val answer: String? = null,
) : RowBody
