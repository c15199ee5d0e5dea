/*
 * Follows one feed of the platform's table. Between two answers it waits a moment, so that a burst of changes costs
 * one call. When other instances know newer rows than this one although its own call is open, the call is given up
 * and made anew: its connection may have gone silent.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Keeps [state] up to date with [feed]. */
internal class FeedFollower(
    private val feed: Feed,
    private val table: PlatformTable,
    private val state: EntryState,
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
    private val clock: () -> Long,
    private val changed: () -> Unit,
) {
    private var round = 0L
    private var startedAt = 0L
    private var failures = 0
    private var known = false
    private var troubledSince: Long? = null

    /** Whether the rows have been read once. */
    val isKnown: Boolean get() = known

    /** Reads all rows and follows their changes. */
    fun start() = scan()

    /** Another instance knows newer rows. */
    fun behind() {
        if (clock() - startedAt < PATIENCE_MILLISECONDS) return
        log.event("feed.behind", "feed" to feed, "version" to state.versions[feed])
        follow()
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

    private fun follow() {
        val mine = ++round
        startedAt = clock()
        table.follow(feed, state.versions[feed] ?: 0, WAIT_MILLISECONDS).whenComplete { page, failure ->
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
        known = true
        val quiet = page.items.isEmpty()
        state.merge(feed, page, now)
        if (!quiet) changed()
        val mine = round
        loop.schedule({ if (mine == round) follow() }, if (quiet) 0 else BATCH_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun failed(failure: Throwable) {
        val now = clock()
        if (troubledSince == null) {
            troubledSince = now
            log.event("table.lost", "feed" to feed, "cause" to failure.message)
        }
        metrics.tableFailed(feed.name)
        if (feed == Feed.SERVERS) state.directory.troubled(now)
        val wait = (FIRST_RETRY_MILLISECONDS shl minOf(failures++, MAXIMUM_DOUBLINGS))
        val jitter = (Math.random() * wait).toLong()
        val mine = round
        val next = if (known) ::follow else ::scan
        loop.schedule({ if (mine == round) next() }, wait / 2 + jitter, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** How long the table may keep a call open without news; its longest is 30 s. */
        const val WAIT_MILLISECONDS = 20_000L

        /** Changes that come within this time of each other share one call; a fifth of the tightest bound is 400 ms. */
        const val BATCH_MILLISECONDS = 150L

        /** A call younger than this is not made anew on other instances' news. */
        const val PATIENCE_MILLISECONDS = 500L
        const val FIRST_RETRY_MILLISECONDS = 200L
        const val MAXIMUM_DOUBLINGS = 2
    }
}
