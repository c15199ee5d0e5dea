/*
 * Traffic configuration set by operators: routes by host and path prefix, the services that they lead to, and limits on
 * requests of callers.
 */
package rhubarbspool.traffic

import rhubarbspool.model.ServiceName

/** Whether requests may be repeated, and how large they are. */
enum class RequestKind(val repeatable: Boolean) {
    /** Short responses; may run more than once. */
    SAFE(true),

    /** Runs at most once for each attempt of a caller. */
    UNSAFE(false),

    /** Large responses; may run more than once. */
    DOWNLOAD(true),

    /** Large request bodies; runs at most once for each attempt of a caller. */
    UPLOAD(false),
}

/** A service that gets a share of a route's traffic in proportion to [weight]. */
data class WeightedService(val service: ServiceName, val weight: Int)

/**
 * Where requests of one host and path prefix are sent, and within which times.
 *
 * @property prefix path prefix, with a slash at both ends.
 * @property timeoutMilliseconds longest time that a caller is kept waiting.
 * @property targetMilliseconds time within which a response has its full value.
 * @property priority priority of its requests; 0 is the highest.
 * @property services services that get the requests, with their weights.
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
 * Properties of a service that matter for routing.
 *
 * @property maximumConnections most connections that one of its servers accepts from all instances together.
 * @property coldRequestsPerSecond most requests per second for a cold server; null for no limit.
 * @property sharded whether each of its keys belongs to one server.
 */
data class TrafficService(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double?,
    val sharded: Boolean,
)

/** Limits in bytes on what a caller may send, and in milliseconds on how long it may take or stay idle. */
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

/** An accepted configuration; [version] increases monotonically. */
data class TrafficConfiguration(
    val version: Long,
    val routes: List<TrafficRoute>,
    val services: Map<ServiceName, TrafficService>,
    val bounds: CallerBounds = CallerBounds(),
)
