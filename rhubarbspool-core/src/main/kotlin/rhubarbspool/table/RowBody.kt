/*
 * Bodies of the rows that the system stores in the platform's table service. Each row is a small JSON document under a
 * key whose first segment is its kind. The 350 million caller-facing keys have no rows of their own: they hash into the
 * ranges of a service's shard map, and only a hot key gets a row.
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

/** An instance of one generation that may take over; later generations of that instance may not. */
@Serializable
data class Successor(val instance: InstanceName, val generation: Long)

/** Life cycle state of an instance in the table. */
@Serializable
enum class MemberState { ACTIVE, LEAVING, GONE }

/**
 * An instance, and the only successors that may take over from it.
 *
 * @property generation increases with each start of the instance; claims name the generation that made them.
 * @property successors instances of the same failure domain that may take over after the takeover wait.
 * @property remoteSuccessors instances of other failure domains that may, after the longer remote wait, take over the
 *   gates of services that move out of a partitioned failure domain.
 * @property remoteWaitMilliseconds current remote wait, 0 if no service moves to another failure domain.
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
 * The instance that is the only sender to a backend server.
 *
 * @property holder the instance, null if the gate is not held.
 * @property generation generation of the holder when it claimed the gate.
 * @property epoch increases with each change of holder; servers that check grants refuse lower epochs.
 * @property suspectUntilMilliseconds wall-clock time until which a once-only request can't be distinguished from a
 *   repeat, because an earlier holder ran requests that it could not record; usually 0.
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
 * The backend server that owns a range of a service's hashed keys, or one hot key.
 *
 * @property index index of the range; for a hot key, of the range that it was split from.
 * @property hotKey the key, if the shard is that of a hot key.
 * @property epoch increases with each move.
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

/** Kinds of targets that operators can drain. */
@Serializable
enum class DrainKind { SERVER, INSTANCE, DOMAIN }

/** An operator's order to drain a target ([draining]) or to return it to service. */
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

/** Whether a backend server was [reachable] when its gate last checked. */
@Serializable
@SerialName("server")
data class ServerBody(val server: ServerName, val service: ServiceName, val reachable: Boolean) : RowBody

/** An audit trail entry, written in the same transaction as the change. */
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

/** Record of a once-only request that a gate is about to run or, with [status], has run. */
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
