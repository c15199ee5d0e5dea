/*
 * Follows one feed of the platform's table. Between two answers it waits a moment, so that a burst of changes costs
 * one call. When other instances know newer rows than this one although its own call is open, the call is given up
 * and made anew: its connection may have gone silent.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Reads [feed] while it is active; [received] hears every page while calls fail it tries again with growing pauses. */
internal class FeedFollower(
    private val feed: Feed,
    private val table: PlatformTable,
    private val state: EntryState,
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
    private val clock: () -> Long,
    private val received: (Feed, FeedPage) -> Unit,
) {
    private var round = 0L
    private var startedAt = 0L
    private var failures = 0

    /** Since when calls have failed; null while they succeed. */
    var troubledSince: Long? = null
        private set

    /** Whether this follower reads the table. */
    var isActive: Boolean = false
        private set

    /** Reads the rows and follows their changes. */
    fun start() {
        if (isActive) return
        isActive = true
        if (state.versions[feed] == null) scan() else follow()
    }

    /** Stops reading; an open call's answer is dropped. */
    fun stop() {
        isActive = false
        troubledSince = null
        failures = 0
        round++
    }

    /** Reads what is new once, without waiting for more. */
    fun look() {
        if (isActive) return
        if (state.versions[feed] == null) scan() else follow(0)
    }

    /** Another instance knows newer rows. */
    fun behind() {
        if (clock() - startedAt < PATIENCE_MILLISECONDS) return
        log.event("feed.behind", "feed" to feed, "version" to state.versions[feed], "active" to isActive)
        if (isActive) follow() else look()
    }

    private fun scan() {
        val mine = ++round
        startedAt = clock()
        table.scan(feed).whenComplete { page, failure ->
            if (mine == round) {
                if (failure != null) failed(failure) else merged(page)
            }
        }
    }

    private fun follow(wait: Long = WAIT_MILLISECONDS) {
        val mine = ++round
        startedAt = clock()
        table.follow(feed, state.versions[feed] ?: 0, wait).whenComplete { page, failure ->
            if (mine == round) {
                when {
                    failure != null -> failed(failure)
                    page == null -> {
                        log.event("feed.history-lost", "feed" to feed, "version" to state.versions[feed])
                        scan()
                    }
                    else -> merged(page)
                }
            }
        }
    }

    private fun merged(page: FeedPage) {
        val now = clock()
        troubledSince?.let { log.event("table.regained", "feed" to feed, "after" to now - it) }
        troubledSince = null
        failures = 0
        val quiet = page.rows.isEmpty()
        received(feed, page)
        if (!isActive) return
        val mine = round
        val pause = if (quiet) 0 else pauseOf(feed)
        loop.schedule({ if (mine == round) follow() }, pause, TimeUnit.MILLISECONDS)
    }

    private fun pauseOf(feed: Feed): Long = if (feed == Feed.SHARED) SHARED_PAUSE_MILLISECONDS else BATCH_MILLISECONDS

    private fun failed(failure: Throwable) {
        val now = clock()
        if (troubledSince == null) {
            troubledSince = now
            log.event("table.lost", "feed" to feed, "cause" to failure.message)
        }
        metrics.tableFailed(feed.name)
        if (feed == Feed.SERVERS) state.directory.troubled(now)
        if (!isActive) return
        val wait = (FIRST_RETRY_MILLISECONDS shl minOf(failures++, MAXIMUM_DOUBLINGS))
        val jitter = (Math.random() * wait).toLong()
        val mine = round
        val next = { if (state.versions[feed] == null) scan() else follow() }
        loop.schedule({ if (mine == round) next() }, wait / 2 + jitter, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** How long the table may keep a call open without news; its longest is 30 s. */
        const val WAIT_MILLISECONDS = 20_000L

        /** Changes that come within this time of each other share one call; a fifth of the tightest bound is 400 ms. */
        const val BATCH_MILLISECONDS = 120L

        /** Owners of keys change in quick steps while keys move. */
        const val SHARED_PAUSE_MILLISECONDS = 20L

        /** A call younger than this is not made anew on other instances' news. */
        const val PATIENCE_MILLISECONDS = 500L
        const val FIRST_RETRY_MILLISECONDS = 200L
        const val MAXIMUM_DOUBLINGS = 2
    }
}
