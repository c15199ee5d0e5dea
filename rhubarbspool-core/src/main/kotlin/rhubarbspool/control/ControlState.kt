/*
 * Tables of entities that the systems of the control side run over each tick.
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

/** Who this instance is; from its settings. */
data class Identity(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val controller: Address,
    val router: Address,
)

/** Where this process stands between start and stop. */
enum class Phase { STARTING, JOINED, LEAVING, LEFT }

/** A transaction that was sent and is not resolved yet. */
internal data class PendingWrite(
    val transaction: Transaction,
    val sentAt: Long,
    val firstSentAt: Long = sentAt,
    val resolved: (CommitResult, PendingWrite) -> Unit,
)

/** A gate that this instance is giving to [target]; [drained] once the router has stopped using it. */
internal data class GateHandover(val order: Long, val target: InstanceName?, val drained: Boolean = false)

/**
 * A shard on its way from the gate of [source].
 *
 * @property order number that the router's report must repeat, so that a late report of an earlier order is told apart.
 * @property version version of the row that the move starts from.
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
    /** Whether the move only follows the plan and may be dropped when the plan changes. */
    val isOptional: Boolean get() = !drained && split == null && target != null
}

/** A request fingerprint that was in flight when a server of [service] crashed. */
data class CrashNotice(val service: ServiceName, val fingerprint: String)

/** A configuration that this instance applies. */
data class ConfigurationInForce(val number: Long, val configuration: ServiceConfiguration)

/** Everything that one control process knows. */
class ControlState(val identity: Identity, val times: LeaseTimes, internal val random: Random) {
    val rows: RowTable = RowTable()
    val configurations: MutableMap<ServiceName, ConfigurationInForce> = sortedMapOf()
    internal val local = HolderLease()
    internal val remote = HolderLease()
    internal val promises = PromiseRegistry()
    internal val pending = LinkedHashMap<String, PendingWrite>()
    internal val handovers = HashMap<ServerName, GateHandover>()
    internal val moves = HashMap<String, ShardMove>()
    internal val reachable = HashMap<ServerName, Boolean>()
    internal val unreachableSince = HashMap<ServerName, Long>()

    /** Every shared row up to this version is in [rows]. */
    var completeRevision: Long = 0
        internal set

    /** Monotonic time of the last answer of the table. */
    var tableAnsweredAt: Long? = null
        internal set

    var phase: Phase = Phase.STARTING
        internal set

    /** Generation of this process; 0 before it joined. */
    var generation: Long = 0
        internal set

    /** Version of the own row whose write ended the last lapse; older knowledge of gates is not acted on. */
    internal var regainVersion = 0L
    internal var startedAt: Long? = null
    internal var lastOrder = 0L
    internal val hotSince = HashMap<String, Long>()
    internal val fresh = ArrayList<VersionedRow>()
    internal val crashes = ArrayList<CrashNotice>()
    internal var unrecordedRuns = false

    /** Counts what the router reported that may call for action. */
    internal var news = 0L
    internal var routerSeenAt: Long? = null
    internal var routerLeaving = false
    internal var routerGone = false

    /** Transactions whose outcome is not known yet. */
    val openWrites: Int get() = pending.size
    private var writeCount = 0L
    private val run = random.nextLong().toULong().toString(RADIX)

    /** This instance's own row. */
    val self: MemberEntry? get() = rows.members[identity.instance]

    /** The remote takeover wait: the shortest time after which a service moves; null when none does. */
    val remoteWait: Long?
        get() = configurations.values.mapNotNull { it.configuration.moveAfterMilliseconds }.minOrNull()

    /** Lease that goes with the remote wait, shorter by the clock drift. */
    internal val remoteLease: Long? get() = remoteWait?.let { it * FULL / (FULL + times.clockDriftPercent) }

    internal fun nextWriteId(): String = "${identity.instance}.$run.${++writeCount}"

    /** Members that take part, this one included. */
    internal fun activeMembers(): List<MemberEntry> =
        rows.members.values.filter { it.member.state == MemberState.ACTIVE }

    internal fun isDraining(kind: DrainKind, name: String): Boolean =
        rows.body<DrainBody>(RowKeys.drain(kind, name))?.draining ?: false

    internal fun isDraining(member: MemberEntry): Boolean =
        isDraining(DrainKind.INSTANCE, member.member.instance.text) ||
            isDraining(DrainKind.DOMAIN, member.member.domain.text)

    /**
     * Whether the router of this instance has been silent for so long that every permission it was given has
     * ended, by its own clock as well.
     */
    internal fun routerLost(now: Now): Boolean =
        routerGone || routerSeenAt?.let { now.monotonic - it > times.takeoverWait } ?: true

    /**
     * Whether the table answered just now. Nothing that can wait is released without that: what was released while
     * the table is out stays out of service until the table is back.
     */
    internal fun tableAnswers(now: Now): Boolean =
        tableAnsweredAt?.let { now.monotonic - it < TABLE_ANSWER_MILLISECONDS } ?: false

    /** Gates that the table gives to this generation of this instance. */
    internal fun ownGates(): List<GateEntry> = rows.gates.values.filter { isOwn(it) }

    internal fun isOwn(entry: GateEntry): Boolean =
        generation > 0 && entry.gate.holder == identity.instance && entry.gate.generation == generation

    /** Servers of [configuration] that may be given shards. */
    internal fun eligibleServers(configuration: ServiceConfiguration): Set<ServerName> =
        configuration.servers.filter { server ->
            val reported = rows.body<ServerBody>(RowKeys.server(server.name))?.reachable ?: true
            val here = reachable[server.name] ?: true
            reported && here &&
                !isDraining(DrainKind.SERVER, server.name.text) && !isDraining(DrainKind.DOMAIN, server.domain.text)
        }.mapTo(sortedSetOf()) { it.name }

    private companion object {
        const val FULL = 100L
        const val RADIX = 36
        const val TABLE_ANSWER_MILLISECONDS = 300L
    }
}
