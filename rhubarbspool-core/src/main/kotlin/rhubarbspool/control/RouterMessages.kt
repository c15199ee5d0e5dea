/*
 * Messages between a controller and the router of the same instance.
 */
package rhubarbspool.control

import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** Permission to use a gate for [remainingMilliseconds], counted from when the router sent its last report. */
data class GateOrder(
    val server: ServerName,
    val epoch: Long,
    val remainingMilliseconds: Long,
    val releaseOrder: Long,
    val suspectUntilMilliseconds: Long,
)

/** Order to stop sending for [subject], or the report that this is done: the row key of a shard or a server name. */
data class ReleaseOrder(val subject: String, val order: Long)

/** What the router may do at one moment. */
data class Orders(val gates: List<GateOrder>, val releases: List<ReleaseOrder>)

/** What the router did and observed since its last report. */
data class RouterStatus(
    val releasedGates: List<ReleaseOrder> = emptyList(),
    val releasedShards: List<ReleaseOrder> = emptyList(),
    val reachable: Map<ServerName, Boolean> = emptyMap(),
    val crashes: List<CrashNotice> = emptyList(),
    val hotKeys: List<HotKey> = emptyList(),
    val unrecordedRuns: Boolean = false,
    val leaving: Boolean = false,
) {
    /** Whether the report may need action at once. */
    internal val isUrgent: Boolean
        get() = leaving || releasedGates.isNotEmpty() || releasedShards.isNotEmpty() || crashes.isNotEmpty() ||
            hotKeys.isNotEmpty()
}

/** A key that takes a large share of the slots of [server]. */
data class HotKey(val service: ServiceName, val key: String, val server: ServerName)
