/*
 * Identity, addresses and limits of this instance, from its settings file.
 */
package rhubarbspool.entry

import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.InstanceName

/**
 * Settings of one process. Retry budgets apply to the requests of all instances together.
 *
 * @property processorPercent the share of a processor core that the process has, in percent; 0 if it is not known.
 */
data class EntrySettings(
    val instance: InstanceName,
    val domain: FailureDomainName,
    val domains: List<FailureDomainName>,
    val processorPercent: Int,
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
 * Names of the HTTP headers between callers, the router and servers.
 *
 * @property requestId identifies one attempt of a caller; servers echo it.
 * @property timeout remaining milliseconds until the sender times out.
 * @property target server that must run the request; any other server refuses it.
 * @property signature a server's proof that a response is its own.
 * @property notExecuted present where a server did not run the request.
 * @property load a server's load report.
 * @property limit requests per second that a server takes from all instances together, as long as it names them.
 * @property leaving present where a server leaves.
 * @property key the key of a request to a sharded service.
 */
data class HeaderNames(
    val requestId: String,
    val timeout: String,
    val target: String,
    val signature: String,
    val notExecuted: String,
    val load: String,
    val limit: String,
    val leaving: String,
    val key: String,
) {
    /** All names. */
    internal val all: List<String>
        get() = listOf(requestId, timeout, target, signature, notExecuted, load, limit, leaving, key)
}
