/*
 * What a controller and the router of the same instance tell each other.
 */
package rhubarbspool.control

import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

/** A gate that the router may use for [remainingMilliseconds] from when it asked. */
data class GateOrder(
    val server: ServerName,
    val epoch: Long,
    val remainingMilliseconds: Long,
    val releaseOrder: Long,
    val suspectUntilMilliseconds: Long,
)

/** An order to the router to stop sending for the shard under the row key [subject]. */
data class ReleaseOrder(val subject: String, val order: Long)

/** What the router may do at one moment. */
data class Orders(val gates: List<GateOrder>, val releases: List<ReleaseOrder>)

/** What the router did and saw since its last report. */
data class RouterStatus(
    val releasedGates: List<ReleaseOrder> = emptyList(),
    val releasedShards: List<ReleaseOrder> = emptyList(),
    val reachable: Map<ServerName, Boolean> = emptyMap(),
    val crashes: List<CrashNotice> = emptyList(),
    val hotKeys: List<HotKey> = emptyList(),
    val unrecordedRuns: Boolean = false,
    val leaving: Boolean = false,
) {
    /** Whether something in here may call for action at once. */
    internal val isUrgent: Boolean
        get() = leaving || releasedGates.isNotEmpty() || releasedShards.isNotEmpty() || crashes.isNotEmpty() ||
            hotKeys.isNotEmpty()
}

/** A key that takes a large share of the slots of [server]. */
data class HotKey(val service: ServiceName, val key: String, val server: ServerName)
