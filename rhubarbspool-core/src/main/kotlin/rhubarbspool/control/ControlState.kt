/*
 * The state of a controller that its systems read and update on each tick.
 */
package rhubarbspool.control

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.lease.HolderLease
import rhubarbspool.lease.LeaseTimes
import rhubarbspool.lease.PromiseRegistry
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName
import rhubarbspool.model.Now
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName
import rhubarbspool.table.CommitResult
import rhubarbspool.table.DrainBody
import rhubarbspool.table.DrainKind
import rhubarbspool.table.GateEntry
import rhubarbspool.table.MemberEntry
import rhubarbspool.table.MemberState
import rhubarbspool.table.RowKeys
import rhubarbspool.table.RowTable
import rhubarbspool.table.ServerBody
import rhubarbspool.table.ShardBody
import rhubarbspool.table.Transaction
import rhubarbspool.table.VersionedRow
import rhubarbspool.table.body
import kotlin.random.Random

/** Name, failure domain and addresses of this instance, from its settings. */
data class Identity(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val controller: Address,
    val router: Address,
)

/** Lifecycle of this process. */
enum class Phase { STARTING, JOINED, LEAVING, LEFT }

/** A transaction that was sent and whose outcome is not known yet. Times are monotonic milliseconds. */
internal data class PendingWrite(
    val transaction: Transaction,
    val sentAt: Long,
    val firstSentAt: Long = sentAt,
    val onResolved: (CommitResult, PendingWrite) -> Unit,
)

/** Handover of a gate to [target], null to leave it free; [drained] once the router has stopped using the gate. */
internal data class GateHandover(val order: Long, val target: InstanceName?, val drained: Boolean = false)

/**
 * Move of a shard away from the server [source].
 *
 * @property order number that the router's report must repeat, so that late reports of earlier orders are ignored.
 * @property version expected version of the row that the move changes.
 * @property target the new owner; null to merge a hot key back into its range.
 * @property split for a hot key that gets a shard of its own: the body of the new row.
 * @property drained whether the router has stopped sending for the shard.
 */
internal data class ShardMove(
    val order: Long,
    val version: Long,
    val source: ServerName,
    val target: ServerName?,
    val split: ShardBody? = null,
    val drained: Boolean = false,
) {
    /** Whether the move may still be cancelled when the placement plan changes. */
    val isOptional: Boolean get() = !drained && split == null && target != null
}

/** A request fingerprint that was in flight when a server of [service] crashed. */
data class CrashNotice(val service: ServiceName, val fingerprint: String)

/** A configuration that this instance applies, with its number. */
data class ConfigurationInForce(val number: Long, val configuration: ServiceConfiguration)

/** The state of one controller process. */
class ControlState(val identity: Identity, val times: LeaseTimes, internal val random: Random) {
    val rows: RowTable = RowTable()
    val configurations: MutableMap<ServiceName, ConfigurationInForce> = sortedMapOf()
    internal val localLease = HolderLease()
    internal val remoteLease = HolderLease()
    internal val promises = PromiseRegistry()
    internal val pending = LinkedHashMap<String, PendingWrite>()
    internal val handovers = HashMap<ServerName, GateHandover>()
    internal val moves = HashMap<String, ShardMove>()
    internal val reachable = HashMap<ServerName, Boolean>()
    internal val unreachableSince = HashMap<ServerName, Long>()

    /** [rows] has every shared row up to this version. */
    var completeRevision: Long = 0
        internal set

    /** Monotonic time in milliseconds of the table's last response; null before the first. */
    var lastTableResponseAt: Long? = null
        internal set

    var phase: Phase = Phase.STARTING
        internal set

    /** Generation of this process; 0 before it joins. */
    var generation: Long = 0
        internal set

    /** Version of the own row that reacquired the lease after the last lapse; rows must be complete up to it. */
    internal var leaseReacquiredVersion = 0L
    internal var startedAt: Long? = null
    internal var lastOrderNumber = 0L
    internal val lastHotAt = HashMap<String, Long>()
    internal val rowsToPush = ArrayList<VersionedRow>()
    internal val crashes = ArrayList<CrashNotice>()
    internal var unrecordedRuns = false

    /** Incremented when the router reports something that systems may have to act on at once. */
    internal var routerChanges = 0L
    internal var lastRouterReportAt: Long? = null
    internal var routerLeaving = false
    internal var routerStopped = false

    /** Number of transactions whose outcome is not known yet. */
    val pendingWriteCount: Int get() = pending.size
    private var lastWriteNumber = 0L
    private val incarnationId = random.nextLong().toULong().toString(RADIX)

    /** This instance's own row. */
    val self: MemberEntry? get() = rows.members[identity.instance]

    /**
     * Time in milliseconds after which an instance of another failure domain may take over: the shortest of all
     * services; null when no service moves between failure domains.
     */
    val remoteWait: Long?
        get() = configurations.values.mapNotNull { it.configuration.moveAfterMilliseconds }.minOrNull()

    /** Duration of the remote lease in milliseconds: the remote wait shortened by the clock drift. */
    internal val remoteLeaseMilliseconds: Long?
        get() = remoteWait?.let { it * PERCENT / (PERCENT + times.clockDriftPercent) }

    internal fun nextWriteId(): String = "${identity.instance}.$incarnationId.${++lastWriteNumber}"

    /** Active members, including this one. */
    internal fun activeMembers(): List<MemberEntry> =
        rows.members.values.filter { it.member.state == MemberState.ACTIVE }

    internal fun isDraining(kind: DrainKind, name: String): Boolean =
        rows.body<DrainBody>(RowKeys.drain(kind, name))?.draining ?: false

    internal fun isDraining(member: MemberEntry): Boolean =
        isDraining(DrainKind.INSTANCE, member.member.instance.text) ||
            isDraining(DrainKind.DOMAIN, member.member.domain.text)

    /**
     * Whether the router has stopped, or has not reported for so long that all its permissions have expired, also by
     * its own clock.
     */
    internal fun isRouterLost(now: Now): Boolean =
        routerStopped || lastRouterReportAt?.let { now.monotonic - it > times.takeoverWait } ?: true

    /**
     * Whether the table responded recently. Without that, gates and shards are released only if they must be: what is
     * released during an outage of the table stays unserved until the table is available again.
     */
    internal fun isTableResponsive(now: Now): Boolean =
        lastTableResponseAt?.let { now.monotonic - it < TABLE_RESPONSIVE_MILLISECONDS } ?: false

    /** Gates whose rows name this generation of this instance as the holder. */
    internal fun ownGates(): List<GateEntry> = rows.gates.values.filter { isOwn(it) }

    internal fun isOwn(entry: GateEntry): Boolean =
        generation > 0 && entry.gate.holder == identity.instance && entry.gate.generation == generation

    /** Servers of [configuration] that may receive shards: reachable and not draining. */
    internal fun eligibleServers(configuration: ServiceConfiguration): Set<ServerName> =
        configuration.servers.filter { server ->
            val reportedReachable = rows.body<ServerBody>(RowKeys.server(server.name))?.reachable ?: true
            val reachableFromHere = reachable[server.name] ?: true
            reportedReachable && reachableFromHere &&
                !isDraining(DrainKind.SERVER, server.name.text) && !isDraining(DrainKind.DOMAIN, server.domain.text)
        }.mapTo(sortedSetOf()) { it.name }

    private companion object {
        const val PERCENT = 100L
        const val RADIX = 36
        const val TABLE_RESPONSIVE_MILLISECONDS = 300L
    }
}
