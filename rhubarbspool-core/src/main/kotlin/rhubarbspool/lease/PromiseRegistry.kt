/*
 * The successor's side of a lease: its promises to holders, and when a takeover is due.
 */
package rhubarbspool.lease

import rhubarbspool.model.InstanceName

/** The two kinds of takeover: within the failure domain, and from another one. */
enum class LeaseScope { LOCAL, REMOTE }

/**
 * A holder's request for a promise, ordered by when the holder sent it.
 *
 * @property sentAt when the holder sent it, on its own monotonic clock.
 * @property unrecordedRuns whether the holder may have run once-only requests that are not recorded at the table.
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

/** Promises of this process to holders that name it as successor. All times are monotonic milliseconds. */
class PromiseRegistry {
    private data class Subject(val holder: InstanceName, val scope: LeaseScope)

    private data class Watch(val version: Long, val since: Long)

    private val promisedAt = HashMap<Subject, Long>()
    private val watches = HashMap<Subject, Watch>()
    private val latestQueries = HashMap<Subject, PromiseQuery>()
    private val takeoversInProgress = HashSet<InstanceName>()
    private val unrecordedRuns = HashSet<InstanceName>()

    /**
     * Promises the holder of [query] not to take over from it for the takeover wait from [now]. Returns false while a
     * takeover from it is in progress, and for a query that arrived after a later one.
     */
    fun promise(query: PromiseQuery, now: Long): Boolean {
        val subject = Subject(query.holder, query.scope)
        val latest = latestQueries[subject]
        if (query.holder in takeoversInProgress || (latest != null && query < latest)) return false
        latestQueries[subject] = query
        promisedAt[subject] = now
        if (query.unrecordedRuns) unrecordedRuns += query.holder else unrecordedRuns -= query.holder
        return true
    }

    /** Whether [holder] last reported that it may have run once-only requests that are not recorded at the table. */
    fun hasUnrecordedRuns(holder: InstanceName): Boolean = holder in unrecordedRuns

    /**
     * Whether a takeover from [holder] is due: for the whole [wait], its row was observed at [version] and no promise
     * was given.
     */
    fun takeoverDue(holder: InstanceName, scope: LeaseScope, version: Long, wait: Long, now: Long): Boolean {
        val subject = Subject(holder, scope)
        val watch = watches[subject]?.takeIf { it.version == version } ?: Watch(version, now)
        watches[subject] = watch
        val unpromisedSince = maxOf(watch.since, promisedAt[subject] ?: Long.MIN_VALUE)
        return holder !in takeoversInProgress && now - unpromisedSince > wait
    }

    /** Stops observing the row of [holder], which no longer names this process as successor. */
    fun stopWatching(holder: InstanceName, scope: LeaseScope) {
        watches.remove(Subject(holder, scope))
    }

    /** Refuses promises to [holder] from when the takeover is written until its result is known. */
    fun onTakeoverStarted(holder: InstanceName) {
        takeoversInProgress += holder
    }

    /** Allows promises to [holder] again: the takeover succeeded or failed. */
    fun onTakeoverResolved(holder: InstanceName) {
        takeoversInProgress -= holder
    }
}
