/*
 * What operators configure for callers' traffic: routes by host and path prefix, the services behind them and the
 * bounds on what a caller may send.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServiceName

/** What may be repeated, and how large answers are. */
enum class RequestKind(val repeatable: Boolean) {
    /** Short answers; may run more than once. */
    SAFE(true),

    /** Runs at most once for each attempt of a caller. */
    UNSAFE(false),

    /** Large answers; may run more than once. */
    DOWNLOAD(true),
}

/** One part of a route's traffic, in proportion to [weight]. */
data class WeightedService(val service: ServiceName, val weight: Int)

/**
 * A route.
 *
 * @property prefix path prefix, with a slash at both ends.
 * @property timeoutMilliseconds longest time that a caller is kept waiting.
 * @property targetMilliseconds time within which an answer has its full value.
 * @property priority rank; 0 is the most urgent.
 * @property services where requests go, with their shares.
 * @property maximumAttempts most backend servers that one attempt of a caller is sent to.
 */
data class TrafficRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val timeoutMilliseconds: Long,
    val targetMilliseconds: Long,
    val priority: Int,
    val services: List<WeightedService>,
    val maximumAttempts: Int,
)

/**
 * What the router has to know of a service.
 *
 * @property maximumConnections most connections that one of its servers takes from all instances together.
 * @property coldRequestsPerSecond most requests a second that a cold server carries; null for no limit.
 * @property sharded whether each of its keys belongs to one server.
 */
data class TrafficService(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double?,
    val sharded: Boolean,
)

/** Bounds on what a caller may send and how long it may take or stay idle, in bytes and milliseconds. */
data class CallerBounds(
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val headerMilliseconds: Long = DEFAULT_HEADER_MILLISECONDS,
    val idleMilliseconds: Long = DEFAULT_IDLE_MILLISECONDS,
) {
    companion object {
        const val DEFAULT_HEADER_BYTES: Int = 16_384
        const val DEFAULT_BODY_BYTES: Long = 1_048_576
        const val DEFAULT_HEADER_MILLISECONDS: Long = 3_000
        const val DEFAULT_IDLE_MILLISECONDS: Long = 15_000
    }
}

/** One accepted configuration; [version] only grows. */
data class TrafficConfiguration(
    val version: Long,
    val routes: List<TrafficRoute>,
    val services: Map<ServiceName, TrafficService>,
    val bounds: CallerBounds = CallerBounds(),
)
