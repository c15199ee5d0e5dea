/*
 * What an experiment varies (load, injected server faults, gate policy) and the result of one run.
 */
package rhubarbspool.lab

import kotlinx.serialization.Serializable
import rhubarbspool.gate.GatePolicy

/** Kind of fault that a scenario injects into servers. */
internal enum class ServerFault { NONE, STRAGGLERS, COLD_RESTART, COLD_UNANNOUNCED, BROKEN_CALLS }

/**
 * Load and injected faults.
 *
 * @property loadFactor offered load as a share of the capacity of all servers when warm.
 * @property hotShare share of requests for one hot key.
 * @property faultyServers number of servers with the fault.
 */
internal data class Scenario(
    val name: String,
    val loadFactor: Double,
    val fault: ServerFault = ServerFault.NONE,
    val faultyServers: Int = 0,
    val hotShare: Double = 0.0,
    val servers: Int = 20,
    val serviceMilliseconds: Double = 5.0,
    val deadlineMilliseconds: Long = 100,
    val seconds: Int = 20,
)

/**
 * A policy under test.
 *
 * @property senders number of routers that send to each server; 1 means a single gate per server.
 */
internal data class Variant(val name: String, val senders: Int = 1, val policy: GatePolicy = GatePolicy())

/**
 * Result of a scenario under a variant.
 *
 * @property goodput answers within the deadline as a share of the requests.
 * @property runsPerAnswer runs at servers per answer within the deadline.
 * @property late runs that ended after their call was cancelled, as a share of the runs.
 * @property fellOver crashes of cold servers that received too many calls.
 * @property mostAtColdServer largest number of requests, running or queued, at a cold server.
 */
@Serializable
internal data class Outcome(
    val scenario: String,
    val variant: String,
    val loadFactor: Double,
    val requests: Long,
    val goodput: Double,
    val latency: Percentiles,
    val runsPerAnswer: Double,
    val late: Double,
    val fellOver: Int,
    val mostAtColdServer: Int,
)
