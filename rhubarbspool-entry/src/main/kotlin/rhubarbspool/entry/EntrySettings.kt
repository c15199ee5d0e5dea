/*
 * Who this instance is and where it listens; read from its settings file.
 */
package rhubarbspool.entry

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/** Settings of one process. Budgets count requests of all instances together. */
data class EntrySettings(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val domains: List<FailureDomainName>,
    val callers: Address,
    val readiness: Address,
    val peers: Address,
    val metrics: Address,
    val stopMilliseconds: Long,
    val retryRatio: Double,
    val retrySlack: Int,
    val retryWindowMilliseconds: Long,
)

/**
 * Names of the headers that carry what the router has to know.
 *
 * @property requestId identifies one attempt of a caller; servers echo it.
 * @property timeout milliseconds that the sender still waits.
 * @property target server that must run the request; another one refuses it.
 * @property signature a server's proof that an answer is its own.
 * @property notExecuted present where a server did not run the request.
 * @property load a server's load report.
 * @property key the key of a request to a sharded service.
 */
data class HeaderNames(
    val requestId: String,
    val timeout: String,
    val target: String,
    val signature: String,
    val notExecuted: String,
    val load: String,
    val key: String,
)
