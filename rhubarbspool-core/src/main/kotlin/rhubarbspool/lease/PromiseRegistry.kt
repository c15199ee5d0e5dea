/*
 * The successor's side of a lease: what it promised to whom, and when a takeover is due.
 */
package rhubarbspool.lease

import rhubarbspool.model.InstanceName

/** The two kinds of takeover: within the failure domain, and from another one. */
enum class LeaseScope { LOCAL, REMOTE }

/**
 * A holder's query for a promise; ordered by when the holder asked.
 *
 * @property sentAt when the holder asked, on its own monotonic clock.
 * @property unrecordedRuns whether the holder may have run once-only requests that the table does not know of.
 */
data class PromiseQuery(
    val holder: InstanceName,
    val generation: Long,
    val scope: LeaseScope,
    val sentAt: Long,
    val unrecordedRuns: Boolean = false,
) : Comparable<PromiseQuery> {
    override fun compareTo(other: PromiseQuery): Int = compareValuesBy(this, other, { it.generation }, { it.sentAt })
}

/** Promises that this process gave to holders that name it. All times are monotonic milliseconds. */
class PromiseRegistry {
    private data class HolderScope(val holder: InstanceName, val scope: LeaseScope)

    private data class Watch(val version: Long, val since: Long)

    private val promisedAt = HashMap<HolderScope, Long>()
    private val watches = HashMap<HolderScope, Watch>()
    private val latestQueries = HashMap<HolderScope, PromiseQuery>()
    private val takeoversInProgress = HashSet<InstanceName>()
    private val unrecordedRuns = HashSet<InstanceName>()

    /**
     * Promises the holder of [query] not to take over from it for the takeover wait from [now]; false while a
     * takeover from it is being attempted, and for a query that a later one has overtaken.
     */
    fun promise(query: PromiseQuery, now: Long): Boolean {
        val holderScope = HolderScope(query.holder, query.scope)
        val latest = latestQueries[holderScope]
        if (query.holder in takeoversInProgress || (latest != null && query < latest)) return false
        latestQueries[holderScope] = query
        promisedAt[holderScope] = now
        if (query.unrecordedRuns) unrecordedRuns += query.holder else unrecordedRuns -= query.holder
        return true
    }

    /** Whether [holder] last said that it ran once-only requests which the table does not know of. */
    fun hasUnrecordedRuns(holder: InstanceName): Boolean = holder in unrecordedRuns

    /**
     * Whether a takeover from [holder] is due: its row kept [version] for the whole [wait], and so long no
     * promise was given.
     */
    fun takeoverDue(holder: InstanceName, scope: LeaseScope, version: Long, wait: Long, now: Long): Boolean {
        val holderScope = HolderScope(holder, scope)
        val watch = watches[holderScope]?.takeIf { it.version == version } ?: Watch(version, now)
        watches[holderScope] = watch
        val unpromisedSince = maxOf(watch.since, promisedAt[holderScope] ?: Long.MIN_VALUE)
        return holder !in takeoversInProgress && now - unpromisedSince > wait
    }

    /** Forgets how long [holder] has been watched: it names this process no more. */
    fun stopWatching(holder: InstanceName, scope: LeaseScope) {
        watches.remove(HolderScope(holder, scope))
    }

    /** Notes that a takeover from [holder] is being written; no promise is given until it is resolved. */
    fun onTakeoverStarted(holder: InstanceName) {
        takeoversInProgress += holder
    }

    /** Notes that the takeover from [holder] is resolved either way. */
    fun onTakeoverResolved(holder: InstanceName) {
        takeoversInProgress -= holder
    }
}
