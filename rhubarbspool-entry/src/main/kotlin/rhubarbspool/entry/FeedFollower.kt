/*
 * Follows one feed of the platform's table by long polling. It waits briefly between two calls, so that a burst of
 * changes costs one call. An open connection may be silent for good: the table holds calls only briefly, so that its
 * silence is told from a lack of news, and a call without a response is repeated on a new connection before the table
 * counts as unavailable. When other instances have newer rows than this one although its call is in flight, it is
 * repeated in the same way. Reading that has stopped is resumed, so that no failure ends it for good.
 */
package rhubarbspool.entry

import rhubarbspool.placement.TableOutage

/** Reads [feed] while it is active and passes every page to [onPage]. Failed calls are retried with backoff. */
internal class FeedFollower(
    private val feed: Feed,
    private val table: PlatformTable,
    private val context: ProcessContext,
    private val outage: TableOutage,
    private val onPage: (Feed, FeedPage) -> Unit,
) {
    private val delay = if (feed == Feed.SHARED) SHARED_DELAY_MILLISECONDS else BATCH_MILLISECONDS
    private val calls = CallSequence(context, "feed.$feed")
    private val failures = ReadFailures()
    private var scannedAt = context.clock()
    private var historyLostAt = scannedAt - STALE_READS_MILLISECONDS

    private var behindSince = 0L
    private var behindVersion = 0L

    /** Whether another instance has newer rows than this one. */
    val isBehind: Boolean get() = context.state.rows(feed).newestVersion < behindVersion

    /** Monotonic time since which calls failed or newer rows were known elsewhere; null while reading works. */
    val staleSince: Long? get() = listOfNotNull(failures.since, behindSince.takeIf { isBehind }).minOrNull()

    /** Whether this follower reads the table. */
    var isActive: Boolean = false
        private set

    /** Reads the rows and follows their changes. */
    fun start() {
        if (isActive) return
        isActive = true
        read()
    }

    /** Stops reading; the response of a call in flight is ignored. */
    fun stop() {
        if (!isActive) return
        isActive = false
        calls.cancel()
    }

    /** Reads new rows once, without waiting for later changes. Does nothing while the follower is active. */
    fun readOnce() {
        if (!isActive) read(wait = 0)
    }

    /** Another instance has a row of [version]. Until this one has it too, [staleSince] is set. */
    fun onNewerVersion(version: Long) {
        if (!isBehind) behindSince = context.clock()
        behindVersion = version
    }

    /**
     * Reads the table if newer rows have been known elsewhere for so long at [now] that they will not arrive here, or
     * if reading has stopped.
     */
    fun catchUp(now: Long) {
        val repeatAfter = if (isActive) REPEAT_AFTER_MILLISECONDS else SINGLE_READ_TIMEOUT_MILLISECONDS
        val isLate = isBehind && now - behindSince >= ARRIVAL_MILLISECONDS && now - calls.startedAt >= repeatAfter
        val hasStopped = isActive && calls.isOverdue(now)
        val version = context.state.rows(feed).version
        if (hasStopped) context.log.fault("the reading of a feed has stopped", "feed" to feed, "version" to version)
        if (isLate) context.log.event("feed.behind", "feed" to feed, "version" to version)
        if (!isLate && !hasStopped) return
        table.renewConnections()
        read(wait = 0)
    }

    /** Reads all rows if [scans], or else those that change within [wait] milliseconds. */
    private fun read(wait: Long = WAIT_MILLISECONDS, scans: Boolean = context.state.rows(feed).version == null) {
        if (scans) {
            calls.call(SCAN_LIMIT_MILLISECONDS, { table.scan(feed) }, ::onResponse)
        } else {
            calls.call(wait, { table.follow(feed, context.state.rows(feed).version ?: 0, wait) }, ::onResponse)
        }
    }

    private fun onResponse(page: FeedPage?, failure: Throwable?) = when {
        failure != null && failures.isRepeated(failure, calls.startedAt) -> {
            context.log.event("feed.silent", "feed" to feed, "version" to context.state.rows(feed).version)
            table.renewConnections()
            read(wait = 0)
        }
        failure != null -> onFailure(failure)
        page != null -> onSuccess(page)
        else -> {
            // Around a loss of history, feeds may omit changes and reads may be stale.
            context.log.event("feed.history-lost", "feed" to feed, "version" to context.state.rows(feed).version)
            historyLostAt = context.clock()
            read(scans = true)
        }
    }

    private fun onSuccess(page: FeedPage) {
        val now = context.clock()
        failures.since?.let { context.log.event("table.regained", "feed" to feed, "after" to now - it) }
        failures.onAnswer(now)
        outage.recordAnswer(calls.startedAt)
        if (page.complete) scannedAt = now
        if (isActive) scheduleNext(if (page.rows.isEmpty()) 0 else delay)
        onPage(feed, page.copy(afterOutage = outage.isRecent(now)))
    }

    private fun scheduleNext(delay: Long) {
        val mayBeStale = context.clock() - historyLostAt < STALE_READS_MILLISECONDS
        val interval = if (mayBeStale) STALE_READS_SCAN_MILLISECONDS else SCAN_MILLISECONDS
        calls.schedule(delay) {
            val untilScan = scannedAt + interval - context.clock()
            if (untilScan <= 0) read(scans = true) else read(minOf(untilScan, WAIT_MILLISECONDS))
        }
    }

    private fun onFailure(failure: Throwable) {
        val now = context.clock()
        if (failures.since == null) context.log.event("table.lost", "feed" to feed, "cause" to failure.message)
        val wait = failures.record(now)
        context.metrics.recordTableFailure(feed.name)
        if (feed == Feed.SERVERS) {
            if (!outage.isRecent(now)) context.log.belief("table", "state" to "out", "cause" to failure.message)
            outage.recordFailure(now)
        }
        if (!isActive) return
        val jitter = (Math.random() * wait).toLong()
        calls.schedule(wait / 2 + jitter) { read(wait = 0) }
    }

    private companion object {
        /**
         * How long the table may hold a call while there are no changes. With the time-out of a call, this leaves a
         * second of the three within which news must arrive again after connections went silent.
         */
        const val WAIT_MILLISECONDS = 1_000L

        /** Interval of full scans, in case the feed omitted a change. */
        const val SCAN_MILLISECONDS = 12_000L

        /** For this long after a loss of history, reads may be several seconds stale. */
        const val STALE_READS_MILLISECONDS = 9_000L
        const val STALE_READS_SCAN_MILLISECONDS = 1_300L

        /** Changes within this time share one call; 400 ms, a fifth of the tightest propagation bound, is the limit. */
        const val BATCH_MILLISECONDS = 120L

        /** Shorter than for other feeds, since owners change in quick succession while keys move. */
        const val SHARED_DELAY_MILLISECONDS = 20L

        /** Rows that another instance has usually arrive here within this time, over the reader or a call in flight. */
        const val ARRIVAL_MILLISECONDS = 400L

        /** A call in flight for less than this is not repeated when another instance has newer rows. */
        const val REPEAT_AFTER_MILLISECONDS = 500L

        /** A single read without a response fails within this time. */
        const val SINGLE_READ_TIMEOUT_MILLISECONDS = 1_200L

        /** A scan may take several calls. */
        const val SCAN_LIMIT_MILLISECONDS = 20_000L
    }
}
